"""Duties: work that one process at a time does under a lease."""

import dataclasses
import logging
import random
from collections.abc import Awaitable, Callable, Collection

from .clock import Clock
from .leases import Lease, LeaseSettings
from .sessions import SessionSettings
from .store import ObjectStore

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """When a process campaigns for duties and how it restarts them.

    A host waits ``rank_delay_s`` longer for each host that is preferred to
    it, up to ``max_rank_delay_s``, and ``share_delay_s`` more once it holds
    its share of all duties. A process that is among the first
    ``standby_count`` hosts for any duty reads the leases every ``poll_interval_s``,
    others every ``idle_poll_interval_s``.
    """

    session: SessionSettings = dataclasses.field(
        default_factory=SessionSettings,
    )
    lease: LeaseSettings = dataclasses.field(default_factory=LeaseSettings)
    poll_interval_s: float = 1.0
    idle_poll_interval_s: float = 10.0
    standby_count: int = 3
    rank_delay_s: float = 0.5
    max_rank_delay_s: float = 5.0
    share_delay_s: float = 2.0
    backoff_s: float = 0.5
    backoff_limit_s: float = 30.0
    restarts_in_place: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """A named piece of work.

    ``run`` gets the lease and is cancelled once it is lost. When it
    returns, the lease is released and campaigned for again.
    """

    name: str
    run: Callable[[Lease], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class DutyContext:
    """What all duties of a process work with.

    ``hosts`` returns the hosts that campaign, as far as is known.
    """

    store: ObjectStore
    clock: Clock
    settings: DutySettings
    host: str
    hosts: Callable[[], Collection[str]]
    rng: random.Random
