"""Settings and dependencies of order journals."""

import dataclasses
import random

from .clock import Clock
from .senders import HostList
from .store import ObjectStore


@dataclasses.dataclass(frozen=True, slots=True)
class JournalSettings:
    """Key prefix and time limits of journals.

    ``in_flight_bound_s`` is the longest time that the sockets allow between
    the start of a transmission (or its deadline, if later) and its arrival.
    ``send_margin_s`` is the time that the authority must last beyond an
    order's deadline.
    """

    prefix: str = 'coordination/orders/'
    in_flight_bound_s: float = 5.0
    send_margin_s: float = 0.25
    call_timeout_s: float = 1.0
    retry_interval_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class JournalContext:
    """The dependencies that all journals of a process share."""

    store: ObjectStore
    clock: Clock
    settings: JournalSettings
    hosts: HostList
    rng: random.Random
