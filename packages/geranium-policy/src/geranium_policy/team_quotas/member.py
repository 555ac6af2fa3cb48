"""A host as a member of the hosts that share the limits of teams."""

import dataclasses
import itertools
import math
from collections.abc import Mapping, Sequence

from .account import QuotaAccount
from .broker import QuotaBroker
from .broker_choice import BrokerChoice
from .limits import QuotaLimit, QuotaSettings
from .messages import (
    Delegation,
    DelegationHeard,
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HostName:
    """A process of a host."""

    host: str
    incarnation: int


class QuotaMember:
    """Asks its broker for tokens, and is the broker of others.

    It sends nothing itself: its caller carries the messages.

    Args:
        own: This process.
        settings: Times and bounds.
        now: Current time in seconds.
    """

    def __init__(
        self, own: HostName, settings: QuotaSettings, now: float
    ) -> None:
        self._own = own
        self._settings = settings
        self._share: float = 0
        self._limits_by_team: Mapping[int, QuotaLimit] = {}
        self._accounts_by_team: dict[int, QuotaAccount] = {}
        self._numbers = itertools.count(1)
        self._has_applied = False
        self.broker = QuotaBroker(settings, now)
        self.choice = BrokerChoice(own.host, settings)

    @property
    def incarnation(self) -> int:
        """The incarnation of this process."""
        return self._own.incarnation

    @property
    def accounts_by_team(self) -> Mapping[int, QuotaAccount]:
        """The accounts of the limited teams."""
        return self._accounts_by_team

    def replace_settings(self, settings: QuotaSettings) -> None:
        """Replace the window and the overage."""
        self._settings = settings

    def apply(self, limits: Mapping[int, QuotaLimit], now: float) -> None:
        """Apply the limits of a configuration, by the hash of their team."""
        is_running = self._has_applied
        self._has_applied = True
        free_until = -math.inf
        if is_running:
            free_until = now + self._settings.introduction_s
        self.broker.apply(limits, now, filled=is_running)
        self._accounts_by_team = {
            team: self._accounts_by_team.get(team)
            or QuotaAccount(self._settings, now, free_until)
            for team in limits
        }
        self._limits_by_team = limits

    def tick(
        self, candidates: Sequence[str], share: float, now: float
    ) -> Delegation | None:
        """Renew the delegation; return the one to send to the broker.

        Args:
            candidates: The hosts that can be the broker, the best first.
            share: Part of the limits that this host has; 0 before it knows
                the other hosts, and when it leaves.
            now: Current time in seconds.
        """
        self._share = share
        choice = self.choice
        choice.update(candidates, now)
        if choice.is_own and share > 0:
            self.broker.delegate(self._own.host, share, math.inf, now)
        else:
            self.broker.withdraw(self._own.host, now)
        return choice.renewal(candidates, share, now)

    def make_ask(self, team: int, costs: Sequence[int], now: float) -> QuotaAsk:
        """Return the ask for the tokens of waiting requests."""
        account = self._accounts_by_team[team]
        account.counts.asked += sum(costs)
        number = next(self._numbers)
        reserve: float = 0
        if not self.choice.is_own:
            reserve = account.reserve(now)
        return QuotaAsk(number, team, tuple(costs), reserve)

    def receive(
        self, sender: HostName, message: QuotaMessage, now: float
    ) -> QuotaMessage | None:
        """Apply a message of another host; return what it is answered by.

        An answer to an ask is for :meth:`accept`.
        """
        match message:
            case Delegation():
                self._accept_delegation(sender, message, now)
                return DelegationHeard(now)
            case QuotaAsk():
                return self.broker.answer(sender, message, now)
            case DelegationHeard(time_s=time_s):
                return self._apply_heard(sender, time_s, now)
            case QuotaAnswer():
                return None

    def accept(
        self, ask: QuotaAsk, asked_at: float, answer: QuotaAnswer, now: float
    ) -> None:
        """Add the tokens of an answer to the account of the team.

        Args:
            ask: What was asked for.
            asked_at: When the ask was sent first.
            answer: The answer to it, which hasn't been accepted before.
            now: Current time in seconds.
        """
        account = self._accounts_by_team.get(ask.team)
        if account is not None:
            until = asked_at + self._settings.grant_s
            account.add(answer.granted, until, now)

    def _accept_delegation(
        self, sender: HostName, message: Delegation, now: float
    ) -> None:
        if message.broker_incarnation != self._own.incarnation:
            return
        sent_at = min(message.broker_time_s, now)
        until = sent_at + self._settings.delegation_s
        self.broker.delegate(sender.host, message.share, until, now)

    def _apply_heard(
        self, sender: HostName, time_s: float, now: float
    ) -> Delegation | None:
        """Delegate at once to a broker whose clock is known for the first time."""
        if sender.host != self.choice.broker:
            return None
        if not self.choice.record_clock(sender.incarnation, time_s, now):
            return None
        return self.choice.renewal((sender.host,), self._share, now)
