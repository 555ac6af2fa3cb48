"""Messages between a host and its quota broker."""

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, slots=True)
class Delegation:
    """A host's share of all limits, for a broker to spend.

    ``broker_time_s`` is the earliest time on the broker's clock at which it
    can have been sent. A broker that was frozen finds old delegations in its
    socket and can't tell their age by its own clock alone.

    Args:
        share: Part of each limit.
        broker_incarnation: Process of the broker whose clock is meant;
            0 if the host hasn't heard from it yet.
        broker_time_s: Time on that clock.
    """

    share: float
    broker_incarnation: int
    broker_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationHeard:
    """The answer to a delegation, with the time on the broker's clock."""

    time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks for the tokens of waiting requests and for a reserve.

    Args:
        number: Number of the ask; the same when it is repeated.
        team: Hash of the team's name.
        costs: Tokens that the waiting requests need, in their order.
        reserve: Tokens in advance, in addition.
    """

    number: int
    team: int
    costs: tuple[int, ...]
    reserve: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """What a broker grants for an ask.

    Args:
        number: Number of the ask.
        granted: Tokens.
        fill: Level of the team's bucket as a share of its burst.
        retry_from_s: From when on refused requests may return.
        retry_until_s: Until when they should be spread.
    """

    number: int
    granted: float
    fill: float
    retry_from_s: float = 0
    retry_until_s: float = 0


QuotaMessage: TypeAlias = Delegation | DelegationHeard | QuotaAsk | QuotaAnswer
