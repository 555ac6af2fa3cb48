"""Processor time of applying the platform's lists at full size."""

import json
from functools import partial
from typing import Any

from geraniumd.platform import parse_hosts, parse_targets
from geraniumd.state import Context

from .figures import Figure, processor_us
from .world import (
    Size,
    build_document,
    build_idle_context,
    engine_name,
    load_document,
    service_name,
    zone_name,
)

_GROUP = 'lists'
_ROUNDS = 5
_US_PER_MS = 1000


async def measure_lists() -> list[Figure]:
    """Return the cost of applying a target list and a host list."""
    size = Size()
    context = build_idle_context()
    loaded = await load_document(build_document(Size(teams=1)))
    context.fleet.apply_configuration(loaded.configuration)
    targets = _encode(
        'targets', [_target(each, size) for each in range(size.engines)]
    )
    hosts = _encode(
        'hosts', [_host(each, size) for each in range(size.daemons)]
    )
    return [
        _figure('targets', partial(_apply_targets, context, targets)),
        _figure('hosts', partial(_apply_hosts, context, hosts)),
    ]


def _apply_targets(context: Context, text: bytes) -> None:
    context.fleet.apply_listing(parse_targets(text))


def _apply_hosts(context: Context, text: bytes) -> None:
    context.directory.apply_listing(parse_hosts(text))


def _figure(name: str, apply_list: partial[None]) -> Figure:
    spent = processor_us(apply_list, _ROUNDS)
    return Figure(
        _GROUP,
        f'list of {name} at full size, processor time',
        spent / _US_PER_MS,
        'ms',
    )


def _encode(name: str, rows: list[Any]) -> bytes:
    return json.dumps({name: rows}).encode()


def _target(number: int, size: Size) -> Any:
    return {
        'target': engine_name(number),
        'service': service_name(number % size.services),
        'zone': zone_name(number % size.zones),
        'address': f'10.0.0.1:{number}',
        'state': 'live',
    }


def _host(number: int, size: Size) -> Any:
    return {
        'host': f'host-{number}',
        'zone': zone_name(number % size.zones),
        'kind': 'entry',
        'state': 'live',
    }
