"""Fault switches of the stand-ins.

The HTTP API validates them and rejects unknown switches.
"""

import dataclasses
import enum
from typing import Annotated, TypeAlias

import pydantic

Count: TypeAlias = Annotated[int, pydantic.Field(ge=0)]
Share: TypeAlias = Annotated[float, pydantic.Field(ge=0, le=1)]
WEIGHTS_BYTES_PER_SECOND = 1 << 24
_STRICT = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults, delays and rate limits of the platform.

    ``lose_answers`` is the number of upcoming writes that take effect but get
    no response: their connection is reset or, with ``lost_answers_hang``,
    stays open. ``silence_connections`` permanently silences the connections
    that are open when it is set.
    """

    __pydantic_config__ = _STRICT

    outage: bool = False
    silent: bool = False
    delay_ms: Count = 0
    lose_answers: Count = 0
    lost_answers_hang: bool = False
    host_list_lag_ms: Count = 0
    target_list_lag_ms: Count = 0
    start_delay_ms: Count = 5000
    leave_notice_ms: Count = 5000
    writes_per_second: Count = 300
    reads_per_second: Count = 2000
    weights_bytes_per_second: Count = WEIGHTS_BYTES_PER_SECOND
    silence_connections: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFaults:
    """Faults of an engine.

    ``stall_after`` and ``cut_after`` are the number of tokens a stream sends
    before it stalls or is reset; ``None`` disables the fault. With
    ``stall_keep_alive`` a stalled stream still sends keep-alive comments.
    ``crossed`` is the number of upcoming streams that first carry events of
    another request.
    """

    __pydantic_config__ = _STRICT

    delay_ms: Count = 0
    silent: bool = False
    stall_after: Count | None = None
    stall_keep_alive: bool = False
    cut_after: Count | None = None
    crossed: Count = 0
    load_lag_ms: Count = 0
    cache_event_lag_ms: Count = 0
    cache_event_gap: Share = 0
    crash_marker: str = ''
    crash_on_order: bool = False
    ignore_orders: bool = False
    silence_connections: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationFaults:
    """Faults of an application target.

    ``drop_after_run`` is the number of upcoming calls that run but get no
    response. With ``fail`` every call runs and returns 500.
    """

    __pydantic_config__ = _STRICT

    delay_ms: Count = 0
    silent: bool = False
    refuse: bool = False
    fail: bool = False
    drop_after_run: Count = 0
    crash_marker: str = ''
    silence_connections: bool = False


class RelayMode(enum.Enum):
    """Fault mode of a relay."""

    PASS = 'pass'
    DROP = 'drop'
    SILENT = 'silent'
    HOLD = 'hold'
    HOLD_ANSWERS = 'hold_answers'


@dataclasses.dataclass(frozen=True, slots=True)
class RelayFaults:
    """Faults of a relay.

    ``drop`` resets open and new connections. ``silent`` permanently discards
    all bytes of the connections that are open when it is set; new connections
    work. ``hold`` buffers bytes until the mode changes; ``hold_answers`` does
    so only for bytes from the target. ``delay_ms`` is the delay in each
    direction.
    """

    __pydantic_config__ = _STRICT

    mode: RelayMode = RelayMode.PASS
    delay_ms: Count = 0
