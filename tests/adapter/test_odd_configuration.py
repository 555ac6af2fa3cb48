"""An odd configuration leaves the previous one in force."""

import asyncio
import copy
import math
from typing import Any

import pytest
from geranium_platform.documents import DocumentError, decode_catalogue

from .conftest import CONFIGURATION, World
from .waits import wait_for

FULL: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'example',
            'pathPrefix': '/a/',
            'kind': 'safe',
            'split': [{'service': 's', 'weight': 1}],
            'timeoutMs': 800,
            'targetLatencyMs': 200,
            'targetGapMs': 250,
            'priority': 1,
            'maxAttempts': 2,
        }
    ],
    'services': [
        {
            'name': 's',
            'maxConnections': 100,
            'engine': {'slots': 6, 'kvTokens': 1000},
            'autoscale': {'min': 1, 'max': 6, 'zonePrices': {'a': 1}},
        }
    ],
    'limits': {
        'maxHeaderBytes': 1,
        'maxBodyBytes': 1,
        'headerTimeoutMs': 1,
        'idleTimeoutMs': 1,
    },
    'tenants': [{'name': 't', 'apiKeys': ['k'], 'priority': 1}],
}
NUMBERS = (
    'version',
    'routes.0.split.0.weight',
    'routes.0.timeoutMs',
    'routes.0.targetLatencyMs',
    'routes.0.targetGapMs',
    'routes.0.priority',
    'routes.0.maxAttempts',
    'services.0.maxConnections',
    'services.0.engine.slots',
    'services.0.engine.kvTokens',
    'services.0.autoscale.min',
    'services.0.autoscale.max',
    'services.0.autoscale.zonePrices.a',
    'limits.maxHeaderBytes',
    'limits.maxBodyBytes',
    'limits.headerTimeoutMs',
    'limits.idleTimeoutMs',
    'tenants.0.priority',
)
TEXTS = ('tenants.0.name', 'routes.0.name', 'services.0.name')
ODD_NUMBERS = (math.inf, math.nan, 1e300, int('9' * 400))


def changed(path: str, odd: Any) -> dict[str, Any]:
    """Return the configuration with another value at a path."""
    document = copy.deepcopy(FULL)
    part: Any = document
    *parents, last = path.split('.')
    for step in parents:
        part = part[int(step)] if step.isdecimal() else part[step]
    part[last] = odd
    return document


def test_ordinary_configuration_is_accepted() -> None:
    assert decode_catalogue(FULL).version == 7


@pytest.mark.parametrize('odd', ODD_NUMBERS)
@pytest.mark.parametrize('path', NUMBERS)
def test_configuration_with_an_odd_number_is_rejected(
    path: str, odd: float
) -> None:
    with pytest.raises(DocumentError):
        decode_catalogue(changed(path, odd))


@pytest.mark.parametrize('version', [-1, 1 << 63, 1 << 64])
def test_configuration_with_a_version_out_of_range_is_rejected(
    version: int,
) -> None:
    with pytest.raises(DocumentError, match='version'):
        decode_catalogue(changed('version', version))


@pytest.mark.parametrize('odd', ['a\r\nb', '\ud800', 'a\x00'])
@pytest.mark.parametrize('path', TEXTS)
def test_configuration_with_an_odd_name_is_rejected(
    path: str, odd: str
) -> None:
    with pytest.raises(DocumentError):
        decode_catalogue(changed(path, odd))


async def test_configuration_after_an_odd_one_comes_into_force(
    world: World,
) -> None:
    for version in (1 << 70, 3):
        document = {**CONFIGURATION, 'version': version}
        world.store.put('config', 'main', document)
        await asyncio.sleep(0.5)

    async def is_known() -> bool:
        known = world.host.state.view.catalogue
        return known is not None and known.version == 3

    await wait_for(is_known)
    async with world.caller.post(
        world.url('/safe/a'), headers=world.headers()
    ) as response:
        assert response.status == 200
