"""Configurations of any size, and daemon state in this process."""

import dataclasses
import hashlib
import json
from typing import Any

from geranium_coordination import (
    ConfigurationRepository,
    LoadedConfiguration,
)
from geranium_coordination.memory import MemoryStore
from geranium_model import (
    ConfigurationDocument,
    parse_document,
)
from geraniumd.process import Secrets, parse_settings
from geraniumd.state import Context, build_context

HOST = 'khomas-a-1'
_NAME = 'name'
_FIRST_PORT = 9000
_DIGITS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a deployment; the defaults are the design size.

    One engine stands for a server of eight accelerators.
    """

    daemons: int = 470
    engines: int = 2000
    teams: int = 11_000
    services: int = 17
    zones: int = 25
    regions: int = 7
    extra_routes: int = 0


def build_document(size: Size) -> ConfigurationDocument:
    """Return a configuration of this size with one key per team."""
    raw: dict[str, Any] = {
        'zones': [
            {_NAME: zone_name(number), 'region': _region(number, size)}
            for number in range(size.zones)
        ],
        'services': [
            {
                'kind': 'model',
                _NAME: service_name(number),
                'model': f'model-{number}',
            }
            for number in range(size.services)
        ],
        'routes': [
            {_NAME: f'route-{number}', 'service': service_name(number)}
            for number in range(size.services)
        ],
        'targets': [_engine(number, size) for number in range(size.engines)],
        'teams': [{_NAME: team_name(number)} for number in range(size.teams)],
        'keys': [_key(number) for number in range(size.teams)],
    }
    raw['routes'].extend(
        {
            _NAME: f'more-{number}',
            'service': service_name(number % size.services),
            'path': f'/more-{number}',
        }
        for number in range(size.extra_routes)
    )
    return parse_document(raw)


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return _numbered('zone', number)


def service_name(number: int) -> str:
    """Return the name of a service."""
    return _numbered('service', number)


def team_name(number: int) -> str:
    """Return the name of a team."""
    return _numbered('team', number)


def engine_name(number: int) -> str:
    """Return the name of an engine."""
    return _numbered('engine', number)


async def load_document(document: ConfigurationDocument) -> LoadedConfiguration:
    """Return a configuration as loaded by a daemon, at its first version."""
    repository = ConfigurationRepository(MemoryStore())
    await repository.change(lambda _empty: document, 'first', 'capacity')
    return await repository.load()


def build_idle_context() -> Context:
    """Return the state of a daemon without connections."""
    settings = {
        'host': HOST,
        'zone': zone_name(0),
        'region': 'r-0',
        'platform': {'address': '127.0.0.1:1'},
    }
    secrets = Secrets(operator_token='token', peer_secret=b'secret')
    return build_context(parse_settings(json.dumps(settings)), secrets)


def _engine(number: int, size: Size) -> dict[str, Any]:
    return {
        'kind': 'engine',
        _NAME: engine_name(number),
        'service': service_name(number % size.services),
        'zone': zone_name(number % size.zones),
        'address': _address(number),
    }


def _key(number: int) -> dict[str, Any]:
    team = team_name(number)
    return {
        'key_id': _numbered('key', number),
        'team': team,
        'sha256': hashlib.sha256(team.encode()).hexdigest(),
    }


def _region(number: int, size: Size) -> str:
    region = number % size.regions
    return f'region-{region}'


def _numbered(kind: str, number: int) -> str:
    digits = str(number).zfill(_DIGITS)
    return f'{kind}-{digits}'


def _address(number: int) -> str:
    port = _FIRST_PORT + number
    return f'10.0.0.1:{port}'
