"""The requests of a team that wait for an answer of the broker."""

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Generic, TypeAlias, TypeVar

from .account import Debit
from .member import QuotaMember
from .messages import QuotaAnswer, QuotaAsk

ANSWER_TIMEOUT_S = 0.06  # a round trip between regions takes less
MAX_SENDS = 2  # of an ask; a request waits no longer for its answers
MAX_COSTS = 32  # of an ask, which must fit a datagram
MAX_WAITING = 256  # requests of a team
NO_ANSWER_RETRY_S = 0.3  # at least, until another broker may have been chosen

Waiter = TypeVar('Waiter')


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """A request is over the limit, or no broker has answered.

    Args:
        retry_from_s: From when on it may return.
        retry_until_s: Until when such requests should be spread.
        reason: Why it is refused.
        fill: Last known fill of the bucket; ``None`` if there was no answer.
    """

    retry_from_s: float
    retry_until_s: float
    reason: str
    fill: float | None = None


Decision: TypeAlias = Debit | OverLimit


@dataclasses.dataclass(slots=True)
class _OpenAsk:
    ask: QuotaAsk
    broker: str
    asked_at: float
    sent_at: float
    sends: int = 1


class TeamAsks(Generic[Waiter]):
    """Asks for the tokens of one team's requests, one ask at a time.

    A request that finds others waiting waits behind them, so that none takes
    the tokens that another has asked for.

    Args:
        team: Hash of the team's name.
        member: This host.
        send: Sends an ask to a broker.
        decide: Receives the decision on a waiting request.
    """

    def __init__(
        self,
        team: int,
        member: QuotaMember,
        send: Callable[[str, QuotaAsk], None],
        decide: Callable[[Waiter, Decision], None],
    ) -> None:
        self._team = team
        self._member = member
        self._send = send
        self._decide = decide
        self._waiting = collections.deque[tuple[int, Waiter]]()
        self._open: _OpenAsk | None = None

    @property
    def deadline(self) -> float | None:
        """When :meth:`expire` is due; ``None`` if no answer is awaited."""
        if self._open is None:
            return None
        return self._open.sent_at + ANSWER_TIMEOUT_S

    def request(self, cost: int, waiter: Waiter, now: float) -> Decision | None:
        """Return the decision on a request; ``None`` if it has to wait."""
        account = self._member.accounts_by_team[self._team]
        if not self._waiting:
            debit = account.take(cost, now)
            if debit is not None:
                return debit
        if self._member.choice.is_own and not self._waiting:
            return self._ask_own(cost, now)
        if len(self._waiting) >= MAX_WAITING:
            account.counts.refused += cost
            return OverLimit(
                NO_ANSWER_RETRY_S, 2 * NO_ANSWER_RETRY_S, 'too many wait'
            )
        self._waiting.append((cost, waiter))
        self._ask(now)
        return None

    def awaits(self, number: int) -> bool:
        """Return whether an ask with a number is open."""
        return self._open is not None and self._open.ask.number == number

    def close(self) -> None:
        """Admit all requests: the team has no limit any more."""
        self._open = None
        while self._waiting:
            _, waiter = self._waiting.popleft()
            self._decide(waiter, Debit(0, math.inf))

    def accept(self, broker: str, answer: QuotaAnswer, now: float) -> None:
        """Decide the requests of the open ask by the answer to it."""
        opened = self._open
        if opened is None or opened.broker != broker:
            return
        if opened.ask.number != answer.number:
            return
        self._open = None
        self._member.choice.record_heard(broker, now)
        self._member.accept(opened.ask, opened.asked_at, answer, now)
        self._decide_asked(opened.ask, answer, now)
        self._ask(now)

    def expire(self, now: float) -> None:
        """Repeat the open ask, or refuse its requests for want of an answer."""
        opened = self._open
        if opened is None or now < opened.sent_at + ANSWER_TIMEOUT_S:
            return
        if opened.sends < MAX_SENDS:
            opened.sends += 1
            opened.sent_at = now
            self._send(opened.broker, opened.ask)
            return
        self._open = None
        choice = self._member.choice
        choice.record_unanswered(opened.broker, opened.asked_at, now)
        wait_s = max(choice.delegated_until - now, NO_ANSWER_RETRY_S)
        count = len(opened.ask.costs)
        if opened.broker == choice.broker:
            # Those that came later would wait for the same broker as long.
            count = len(self._waiting)
        for _ in range(count):
            cost, waiter = self._waiting.popleft()
            self._refuse(
                waiter, cost, OverLimit(wait_s, 2 * wait_s, 'no answer')
            )
        self._ask(now)

    def _ask(self, now: float) -> None:
        """Ask for what waits, unless an answer is awaited."""
        if self._open is not None or not self._waiting:
            return
        if self._member.choice.is_own:
            self._decide_by_own(now)
            return
        costs = [cost for cost, _ in self._waiting][:MAX_COSTS]
        ask = self._member.make_ask(self._team, costs, now)
        broker = self._member.choice.broker
        self._open = _OpenAsk(ask, broker, now, now)
        self._send(broker, ask)

    def _ask_own(self, cost: int, now: float) -> Decision:
        member = self._member
        ask = member.make_ask(self._team, (cost,), now)
        answer = member.broker.grant(ask, now)
        member.accept(ask, now, answer, now)
        account = member.accounts_by_team[self._team]
        debit = account.take(cost, now)
        if debit is None:
            account.counts.refused += cost
            return _refusal(answer)
        return debit

    def _decide_by_own(self, now: float) -> None:
        """Decide what waits for another broker by the own one."""
        while self._waiting:
            cost, waiter = self._waiting.popleft()
            self._decide(waiter, self._ask_own(cost, now))

    def _decide_asked(
        self, ask: QuotaAsk, answer: QuotaAnswer, now: float
    ) -> None:
        account = self._member.accounts_by_team.get(self._team)
        for _ in ask.costs:
            cost, waiter = self._waiting.popleft()
            debit = None if account is None else account.take(cost, now)
            if debit is None:
                self._refuse(waiter, cost, _refusal(answer))
            else:
                self._decide(waiter, debit)

    def _refuse(self, waiter: Waiter, cost: int, refusal: OverLimit) -> None:
        account = self._member.accounts_by_team.get(self._team)
        if account is not None:
            account.counts.refused += cost
        self._decide(waiter, refusal)


def _refusal(answer: QuotaAnswer) -> OverLimit:
    return OverLimit(
        answer.retry_from_s,
        answer.retry_until_s,
        'over the limit',
        answer.fill,
    )
