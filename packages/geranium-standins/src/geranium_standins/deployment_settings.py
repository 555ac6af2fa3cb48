"""Settings of a local deployment."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

REGION = 'region'
_NAME = 'name'

NO_OVERRIDES: Mapping[str, Any] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Number and settings of the processes to start.

    Engines, targets and daemons are assigned to zones round-robin and named
    ``engine-1``, ``target-1``, ``host-1`` and so on. ``daemon_settings`` is
    merged into each daemon's settings file.
    """

    zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c')
    daemons: int = 3
    engines: int = 3
    targets: int = 3
    model_service: str = 'llm'
    application_service: str = 'app'
    teams: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: {'registry': 1},
    )
    engine_options: tuple[str, ...] = ()
    unfenced_engines: frozenset[str] = frozenset()
    daemon_settings: Mapping[str, Any] = dataclasses.field(
        default_factory=dict,
    )
    log_level: str = 'info'

    def zone_of(self, number: int) -> str:
        """Return the zone of the engine, target or host with this number."""
        return self.zones[(number - 1) % len(self.zones)]

    def configuration_document(
        self,
        engine_addresses: Mapping[str, str],
        target_addresses: Mapping[str, str],
    ) -> dict[str, Any]:
        """Return the configuration for addresses by engine and target name."""
        return {
            'zones': [{_NAME: zone, 'region': REGION} for zone in self.zones],
            'services': [
                {'kind': 'model', _NAME: self.model_service, 'model': 'model'},
                {'kind': 'application', _NAME: self.application_service},
            ],
            'targets': [
                *self._engine_rows(engine_addresses),
                *self._target_rows(target_addresses),
            ],
            'teams': [
                {_NAME: team, 'weight': weight}
                for team, weight in self.teams.items()
            ],
            'routes': self._routes(),
        }

    def _routes(self) -> list[dict[str, Any]]:
        return [
            {'name': 'llm', 'service': self.model_service},
            {'name': 'app', 'service': self.application_service},
            {
                'name': 'public',
                'service': self.application_service,
                'path': '/public',
                'methods': ['GET'],
                'open_to_all': True,
            },
        ]

    def _engine_rows(
        self, addresses: Mapping[str, str]
    ) -> list[dict[str, Any]]:
        rows = _rows('engine', self.model_service, addresses)
        for number, row in enumerate(rows, start=1):
            row['zone'] = self.zone_of(number)
            row['honours_fencing'] = row[_NAME] not in self.unfenced_engines
        return rows

    def _target_rows(
        self, addresses: Mapping[str, str]
    ) -> list[dict[str, Any]]:
        rows = _rows('target', self.application_service, addresses)
        for number, row in enumerate(rows, start=1):
            row['zone'] = self.zone_of(number)
        return rows


def _rows(
    kind: str,
    service: str,
    addresses: Mapping[str, str],
) -> list[dict[str, Any]]:
    return [
        {'kind': kind, 'name': name, 'service': service, 'address': address}
        for name, address in addresses.items()
    ]
