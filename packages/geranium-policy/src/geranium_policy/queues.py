"""Queues: the waiting requests of one team, by priority and age."""

import bisect
import dataclasses
from collections.abc import Callable, Iterator

from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class TokenPrices:
    """What a token counts when shares are computed.

    A generated token takes an engine longer than a prompt token, which is
    read together with hundreds of others.
    """

    prompt: float = 1
    generated: float = 8

    def cost(self, prompt_tokens: int, generated_tokens: int) -> float:
        """Return what so many tokens count, in prompt tokens."""
        return self.prompt * prompt_tokens + self.generated * generated_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A request that waits for its turn.

    Args:
        profile: What is known of the request.
        key_id: The key that it carried; empty on routes open to all.
        arrived_at: When it came.
        first_token_deadline: Instant after which a first token is too late.
    """

    profile: RequestProfile
    key_id: str
    arrived_at: float
    first_token_deadline: float


@dataclasses.dataclass(order=True, slots=True)
class QueuedRequest:
    """An entry with its place: ``turn`` ascending, then as they came."""

    turn: float
    number: int
    entry: QueueEntry = dataclasses.field(compare=False)
    cost: float = dataclasses.field(compare=False)


class TeamQueue:
    """One team's waiting requests.

    A request's turn is the instant of its arrival plus ``aging_s`` for each
    level of priority, so a low priority waits longer but never for ever.
    """

    def __init__(self, prices: TokenPrices, aging_s: float) -> None:
        self.cost: float = 0
        self._prices = prices
        self._aging_s = aging_s
        self._numbered = 0
        self._queued: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._queued)

    def __iter__(self) -> Iterator[QueueEntry]:
        """Yield the entries in the order of their turns."""
        for queued in self._queued:
            yield queued.entry

    @property
    def first(self) -> QueuedRequest:
        """The request whose turn it is; there is one."""
        return self._queued[0]

    def push(self, entry: QueueEntry) -> None:
        """Queue an entry."""
        profile = entry.profile
        cost = self._prices.cost(
            profile.prompt_tokens,
            profile.expected_tokens,
        )
        self._numbered += 1
        queued = QueuedRequest(self.turn(entry), self._numbered, entry, cost)
        bisect.insort(self._queued, queued)
        self.cost += cost

    def pop_first(self) -> QueuedRequest:
        """Take out the request whose turn it is; there is one."""
        return self._take(0)

    def pop_last(self) -> QueuedRequest:
        """Take out the request whose turn is the last; there is one."""
        return self._take(len(self._queued) - 1)

    def remove(
        self,
        unwanted: Callable[[QueueEntry], bool],
    ) -> tuple[QueueEntry, ...]:
        """Take out all entries that are unwanted and return them."""
        removed = tuple(
            queued.entry for queued in self._queued if unwanted(queued.entry)
        )
        if removed:
            self._queued = [
                queued for queued in self._queued if not unwanted(queued.entry)
            ]
            self.cost = sum(queued.cost for queued in self._queued)
        return removed

    def cost_before(self, entry: QueueEntry) -> float:
        """Estimate the cost of what would run before a new entry."""
        if not self._queued:
            return 0
        position = bisect.bisect_right(
            self._queued,
            self.turn(entry),
            key=lambda queued: queued.turn,
        )
        return self.cost * position / len(self._queued)

    def turn(self, entry: QueueEntry) -> float:
        """Return the instant by which entries are ordered."""
        return entry.arrived_at + entry.profile.priority * self._aging_s

    def _take(self, position: int) -> QueuedRequest:
        queued = self._queued.pop(position)
        self.cost = self.cost - queued.cost if self._queued else 0
        return queued
