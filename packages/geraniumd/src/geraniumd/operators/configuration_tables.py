"""Tables of the configuration in force."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TypeAlias

from geranium_model import Configuration, ModelService
from geranium_statements import Collection, Row, Table, build_table

Builder: TypeAlias = Callable[[Configuration], Table]


def _zones(configuration: Configuration) -> Table:
    rows = [
        (zone.name, zone.region, zone.name in configuration.cordoned_zones)
        for zone in configuration.zones_by_name.values()
    ]
    return build_table(('zone', 'region', 'cordoned'), rows)


def _teams(configuration: Configuration) -> Table:
    rows = [
        (team.name, team.weight)
        for team in configuration.teams_by_name.values()
    ]
    return build_table(('team', 'weight'), rows)


def _keys(configuration: Configuration) -> Table:
    rows = [
        (key.key_id, key.team) for key in configuration.keys_by_sha256.values()
    ]
    return build_table(('key', 'team'), rows)


def _services(configuration: Configuration) -> Table:
    rows: list[Row] = []
    for service in configuration.services_by_name.values():
        match service:
            case ModelService():
                rows.append(
                    (service.name, 'model', service.model, service.version),
                )
            case _:
                rows.append((service.name, 'application', None, None))
    return build_table(('service', 'kind', 'model', 'version'), rows)


def _routes(configuration: Configuration) -> Table:
    rows = [
        (
            route.name,
            route.service,
            route.path,
            ','.join(sorted(route.methods)) or 'all',
            route.repeatable,
            route.open_to_all,
            ','.join(sorted(route.teams)) or 'all',
        )
        for route in configuration.routes_by_name.values()
    ]
    columns = (
        'route',
        'service',
        'path',
        'methods',
        'repeatable',
        'open_to_all',
        'teams',
    )
    return build_table(columns, rows)


def _contracts(configuration: Configuration) -> Table:
    rows = [
        (
            contract.service,
            contract.zone,
            contract.purchase.value,
            contract.committed,
            contract.maximum,
            contract.hourly_price,
        )
        for contract in configuration.contracts
    ]
    columns = (
        'service',
        'zone',
        'purchase',
        'committed',
        'maximum',
        'hourly_price',
    )
    return build_table(columns, rows)


CONFIGURATION_BUILDERS: Mapping[Collection, Builder] = MappingProxyType(
    {
        Collection.ZONES: _zones,
        Collection.TEAMS: _teams,
        Collection.KEYS: _keys,
        Collection.SERVICES: _services,
        Collection.ROUTES: _routes,
        Collection.CONTRACTS: _contracts,
    },
)
