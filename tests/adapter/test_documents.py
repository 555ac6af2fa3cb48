"""Documents are decoded to the product's types or rejected."""

from typing import Any

import pytest
from geranium_platform.documents import (
    DocumentError,
    decode_catalogue,
    decode_target,
)
from geranium_relay import RouteKind, RouteTable, Share, Stage, Team

ROUTE = {
    'name': 'r1',
    'host': 'example',
    'pathPrefix': '/a/',
    'kind': 'streaming',
    'timeoutMs': 3000,
    'targetLatencyMs': 500,
    'priority': 1,
    'service': 's1',
    'maxAttempts': 2,
    'public': False,
    'resumable': True,
    'targetGapMs': 250,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [
        ROUTE,
        {
            **ROUTE,
            'name': 'r2',
            'pathPrefix': '/a/b/',
            'kind': 'unsafe',
            'service': None,
            'split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
        },
    ],
    'services': [
        {
            'name': 's1',
            'maxConnections': 370,
            'engine': {'slots': 64, 'kvTokens': 500, 'handleTtlS': 5.0},
            'autoscale': {
                'min': 1,
                'max': 6,
                'bootS': 4.0,
                'spotPrice': 0.22,
                'zonePrices': {'a': 1.0},
            },
        },
        {'name': 's2'},
    ],
    'limits': {'idleTimeoutMs': 15000},
    'tenants': [{'name': 't', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}
SERVER: dict[str, Any] = {
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 4,
    'born': 1700000000000,
    'stage': 'prefill',
    'models': [{'name': 'm', 'version': 3, 'adapters': []}],
    'spot': True,
}


def test_configuration_becomes_a_catalogue() -> None:
    catalogue = decode_catalogue(CONFIGURATION)

    first, second = catalogue.routes
    assert catalogue.version == 7
    assert (first.kind, first.timeout_s) == (RouteKind.STREAM, 3)
    assert first.repeatable
    assert not second.repeatable
    assert second.shares == (Share('s1', 90), Share('s2', 10))
    assert catalogue.teams_by_key['k2'] == Team('t', 1)
    purchase = catalogue.services_by_name['s1'].purchase
    assert purchase is not None
    assert purchase.most == 6
    assert catalogue.services_by_name['s2'].engine is None
    assert catalogue.limits.idle_timeout_s == 15


def test_longest_prefix_wins() -> None:
    table = RouteTable(decode_catalogue(CONFIGURATION).routes)

    found = table.find('example', '/a/b/c')

    assert found is not None
    assert found.name == 'r2'
    assert table.find('example', '/other/') is None
    assert table.find('other', '/a/') is None


@pytest.mark.parametrize(
    'change',
    [{'routes': None}, {'version': 'x'}, {'routes': [{'name': 'r'}]}],
)
def test_invalid_configuration_names_the_field(
    change: dict[str, Any],
) -> None:
    with pytest.raises(DocumentError, match=r'version|routes'):
        decode_catalogue({**CONFIGURATION, **change})


def test_entry_becomes_a_target() -> None:
    target = decode_target('i-1', SERVER)

    assert target.key == 'i-1@1700000000000'
    assert target.stage is Stage.PREFILL
    assert target.weights_version == 3
    assert target.reclaimable
    assert not target.leaving


@pytest.mark.parametrize(
    ('field', 'wrong'),
    [
        ('address', 'nowhere'),
        ('address', 17),
        ('slots', 'many'),
        ('slots', 0),
        ('state', 'sleeping'),
        ('born', 1.5),
        ('service', None),
        ('stage', 'other'),
    ],
)
def test_entry_with_an_invalid_field_is_rejected(
    field: str, wrong: object
) -> None:
    with pytest.raises(DocumentError, match=field):
        decode_target('i-1', {**SERVER, field: wrong})


@pytest.mark.parametrize('field', ['address', 'born', 'slots', 'state', 'zone'])
def test_entry_without_a_field_is_rejected(field: str) -> None:
    rest = {name: part for name, part in SERVER.items() if name != field}

    with pytest.raises(DocumentError, match=field):
        decode_target('i-1', rest)


@pytest.mark.parametrize('spec', [None, 'text', 3, []])
def test_entry_that_is_not_a_table_is_rejected(spec: object) -> None:
    with pytest.raises(DocumentError):
        decode_target('i-1', spec)
