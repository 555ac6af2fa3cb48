"""The fault switches of each stand-in.

The classes are validated as they come in over HTTP; an unknown switch is an
error there.
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
    """Faults and figures of the platform.

    ``lose_answers`` is the number of writes still to come that take effect
    and get no answer: their connection is closed or, with
    ``lost_answers_hang``, stays open. ``silence_connections`` lets the
    connections that are open when it is set go silent for good.
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

    ``stall_after`` and ``cut_after`` count the tokens that a stream sent;
    ``None`` is no fault. ``stall_keep_alive`` lets a stalled stream go on
    with its keep-alive comments. ``crossed`` is the number of streams still
    to come that carry another request's events first.
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

    ``drop_after_run`` is the number of calls still to come that run and get
    no answer; ``fail`` lets every call run and answer 500.
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
    """What a relay does with bytes and connections."""

    PASS = 'pass'
    DROP = 'drop'
    SILENT = 'silent'
    HOLD = 'hold'
    HOLD_ANSWERS = 'hold_answers'


@dataclasses.dataclass(frozen=True, slots=True)
class RelayFaults:
    """Faults of a relay.

    ``drop`` resets the connections and each new one. ``silent`` lets the
    connections that are open when it is set swallow all bytes for good,
    while new ones work. ``hold`` keeps bytes and delivers them once the mode
    is another; ``hold_answers`` does so for the bytes from the target alone.
    ``delay_ms`` is how long bytes take in each direction.
    """

    __pydantic_config__ = _STRICT

    mode: RelayMode = RelayMode.PASS
    delay_ms: Count = 0
