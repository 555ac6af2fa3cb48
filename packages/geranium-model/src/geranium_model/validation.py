"""Validates a configuration document as a whole."""

from collections.abc import Collection, Iterable, Iterator
from typing import Any

import pydantic

from .documents import ConfigurationDocument
from .exceptions import DocumentError

_MAX_PORT = 65535
_LEAST = 1e-6  # of a number other than 0
_MOST = 1e12
_NUMBERS = (
    ('services', 'first_token_ms'),
    ('services', 'between_tokens_ms'),
    ('teams', 'weight'),
    ('contracts', 'committed'),
    ('contracts', 'maximum'),
    ('contracts', 'hourly_price'),
)


def parse_document(raw: Any) -> ConfigurationDocument:
    """Validate a decoded JSON value as a configuration document.

    Raises:
        DocumentError: If a field is malformed or a reference is wrong; each
            message starts with the path of the field.
    """
    try:
        document = ConfigurationDocument.model_validate(raw)
    except pydantic.ValidationError as error:
        raise DocumentError(tuple(format_validation_errors(error))) from None
    errors = tuple(_Checker(document).find_errors())
    if errors:
        raise DocumentError(errors)
    return document


def format_validation_errors(error: pydantic.ValidationError) -> Iterator[str]:
    """Yield a message for each error, starting with the field's path."""
    for fault in error.errors():
        yield f'{_dotted_path(fault["loc"])}: {fault["msg"]}'


def _dotted_path(location: Iterable[str | int]) -> str:
    steps = (
        f'[{step}]' if isinstance(step, int) else f'.{step}'
        for step in location
    )
    return ''.join(steps).lstrip('.') or '(document)'


class _Checker:
    """Finds duplicate names and references to unknown names."""

    def __init__(self, document: ConfigurationDocument) -> None:
        self._document = document
        self._zones = {zone.name for zone in document.zones}
        self._teams = {team.name for team in document.teams}
        self._kinds_by_service = {
            service.name: service.kind for service in document.services
        }

    def find_errors(self) -> Iterator[str]:
        """Yield a message for each inconsistency."""
        yield from self._check_duplicates()
        yield from self._check_targets()
        yield from self._check_keys()
        yield from self._check_routes()
        yield from self._check_contracts()
        yield from self._check_numbers()
        for zone in self._document.cordoned_zones:
            yield from _check_reference(
                'cordoned_zones', 'zone', zone, self._zones
            )

    def _check_duplicates(self) -> Iterator[str]:
        document = self._document
        names_by_field = {
            'zones': [zone.name for zone in document.zones],
            'services': [service.name for service in document.services],
            'targets': [target.name for target in document.targets],
            'teams': [team.name for team in document.teams],
            'keys': [key.key_id for key in document.keys],
            'routes': [route.name for route in document.routes],
        }
        for field, names in names_by_field.items():
            yield from _duplicates(field, names)

    def _check_targets(self) -> Iterator[str]:
        for index, target in enumerate(self._document.targets):
            path = f'targets[{index}]'
            wanted = 'model' if target.kind == 'engine' else 'application'
            if self._kinds_by_service.get(target.service) != wanted:
                yield f'{path}.service: no {wanted} service {target.service!r}'
            yield from _check_reference(
                f'{path}.zone', 'zone', target.zone, self._zones
            )
            if not _has_port(target.address):
                yield f'{path}.address: the port is out of range'

    def _check_keys(self) -> Iterator[str]:
        for index, key in enumerate(self._document.keys):
            yield from _check_reference(
                f'keys[{index}].team', 'team', key.team, self._teams
            )

    def _check_routes(self) -> Iterator[str]:
        for index, route in enumerate(self._document.routes):
            path = f'routes[{index}]'
            yield from self._check_service(path, route.service)
            for team in route.teams:
                yield from _check_reference(
                    f'{path}.teams', 'team', team, self._teams
                )

    def _check_contracts(self) -> Iterator[str]:
        for index, contract in enumerate(self._document.contracts):
            path = f'contracts[{index}]'
            yield from self._check_service(path, contract.service)
            yield from _check_reference(
                f'{path}.zone', 'zone', contract.zone, self._zones
            )
            if contract.maximum < contract.committed:
                yield f'{path}.maximum: is below committed'

    def _check_numbers(self) -> Iterator[str]:
        """Find numbers that calculations with them overflow."""
        for field, name in _NUMBERS:
            for index, record in enumerate(getattr(self._document, field)):
                if not _is_in_range(getattr(record, name, 0)):
                    yield f'{field}[{index}].{name}: is out of range'

    def _check_service(self, path: str, service: str) -> Iterator[str]:
        yield from _check_reference(
            f'{path}.service', 'service', service, self._kinds_by_service
        )


def _check_reference(
    path: str,
    kind: str,
    name: str,
    known_names: Collection[str],
) -> Iterator[str]:
    if name not in known_names:
        yield f'{path}: no {kind} {name!r}'


def _has_port(address: str) -> bool:
    return 0 < int(address.rpartition(':')[-1]) <= _MAX_PORT


def _is_in_range(number: float) -> bool:
    return number == 0 or _LEAST <= number <= _MOST


def _duplicates(field: str, names: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield f'{field}[{index}]: {name!r} stands twice'
        seen.add(name)
