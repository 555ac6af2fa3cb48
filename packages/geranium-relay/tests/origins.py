"""Makes the origins of streams of a host, with records of versions."""

import asyncio
from collections.abc import Callable

import geranium_relay as relay
from geranium_coordination import MemoryStore


def make_records(
    fleet: relay.Fleet,
    now: Callable[[], float],
    store: MemoryStore | None = None,
    lines: asyncio.Queue[str] | None = None,
) -> relay.VersionRecords:
    write = str if lines is None else lines.put_nowait
    return relay.VersionRecords(
        relay.VersionRecordSettings(),
        store or MemoryStore(),
        fleet,
        now,
        relay.DecisionLog(relay.LogSettings(), write, now),
    )


def make_origins(
    fleet: relay.Fleet,
    now: Callable[[], float],
    unix_time: Callable[[], float],
    store: MemoryStore | None = None,
    max_wait_s: float = 0.5,
) -> relay.StreamOrigins:
    return relay.StreamOrigins(
        fleet,
        make_records(fleet, now, store),
        relay.StreamOriginSettings(max_wait_s=max_wait_s),
        now,
        unix_time,
    )
