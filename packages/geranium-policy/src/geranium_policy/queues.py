"""The request queue of one team, ordered by priority and age."""

import bisect
import dataclasses
from collections.abc import Callable, Iterator

from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class TokenPrices:
    """Cost of a token in the computation of shares.

    A generated token takes an engine longer than a prompt token, which is
    processed in a batch with hundreds of others.
    """

    prompt: float = 1
    generated: float = 8

    def cost(self, prompt_tokens: int, generated_tokens: int) -> float:
        """Return the cost of a request in prompt tokens."""
        return self.prompt * prompt_tokens + self.generated * generated_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued request.

    Args:
        profile: The request's properties.
        key_id: Id of the request's API key; empty on public routes.
        arrived_at: Instant of its arrival.
        first_token_deadline: Instant by which the first token is due.
    """

    profile: RequestProfile
    key_id: str
    arrived_at: float
    first_token_deadline: float


@dataclasses.dataclass(order=True, slots=True)
class QueuedRequest:
    """An entry with its sort key: ``turn``, then the order of arrival."""

    turn: float
    number: int
    entry: QueueEntry = dataclasses.field(compare=False)
    cost: float = dataclasses.field(compare=False)


class TeamQueue:
    """The queued requests of one team.

    A request's turn is its arrival time plus ``aging_s`` for each priority
    level, so low-priority requests wait longer but don't starve.
    """

    def __init__(self, prices: TokenPrices, aging_s: float) -> None:
        self.cost: float = 0
        self._prices = prices
        self._aging_s = aging_s
        self._last_number = 0
        self._queued: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def __iter__(self) -> Iterator[QueueEntry]:
        """Yield the entries in ascending order of turn."""
        for queued in self._queued:
            yield queued.entry

    @property
    def first(self) -> QueuedRequest:
        """The request with the least turn; the queue is not empty."""
        return self._queued[0]

    def push(self, entry: QueueEntry) -> None:
        """Insert an entry in the order of its turn."""
        profile = entry.profile
        cost = self._prices.cost(
            profile.prompt_tokens,
            profile.expected_tokens,
        )
        self._last_number += 1
        queued = QueuedRequest(self.turn(entry), self._last_number, entry, cost)
        bisect.insort(self._queued, queued)
        self.cost += cost

    def pop_first(self) -> QueuedRequest:
        """Remove and return the first request; the queue is not empty."""
        return self._pop_at(0)

    def pop_last(self) -> QueuedRequest:
        """Remove and return the last request; the queue is not empty."""
        return self._pop_at(len(self._queued) - 1)

    def remove(
        self,
        predicate: Callable[[QueueEntry], bool],
    ) -> tuple[QueueEntry, ...]:
        """Remove and return all entries that match the predicate."""
        removed = tuple(
            queued.entry for queued in self._queued if predicate(queued.entry)
        )
        if removed:
            self._queued = [
                queued for queued in self._queued if not predicate(queued.entry)
            ]
            self.cost = sum(queued.cost for queued in self._queued)
        return removed

    def cost_before(self, entry: QueueEntry) -> float:
        """Estimate the cost of requests that would run before a new entry."""
        if not self._queued:
            return 0
        position = bisect.bisect_right(
            self._queued,
            self.turn(entry),
            key=lambda queued: queued.turn,
        )
        return self.cost * position / len(self._queued)

    def turn(self, entry: QueueEntry) -> float:
        """Return the sort key of an entry, as an instant in seconds."""
        return entry.arrived_at + entry.profile.priority * self._aging_s

    def _pop_at(self, position: int) -> QueuedRequest:
        queued = self._queued.pop(position)
        self.cost = self.cost - queued.cost if self._queued else 0
        return queued
