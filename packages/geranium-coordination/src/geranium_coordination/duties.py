"""Duties: tasks that one process at a time runs under a lease."""

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
    """Timing of campaigns for duties and of their restarts.

    A host delays its campaign by ``rank_delay_s`` for each host that ranks
    before it, up to ``max_rank_delay_s``, and by another ``share_delay_s``
    while it holds its share of all duties. A process that is among the first
    ``standby_count`` hosts for any duty reads the leases every
    ``poll_interval_s``, others every ``idle_poll_interval_s``.
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
    max_backoff_s: float = 30.0
    restarts_in_place: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """A named task.

    ``run`` receives the lease and is cancelled when the lease is lost. When
    ``run`` returns, the lease is released and the process campaigns again.
    """

    name: str
    run: Callable[[Lease], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class DutyContext:
    """The dependencies that all duties of a process share.

    ``hosts`` returns the known hosts that campaign.
    """

    store: ObjectStore
    clock: Clock
    settings: DutySettings
    host: str
    hosts: Callable[[], Collection[str]]
    rng: random.Random
