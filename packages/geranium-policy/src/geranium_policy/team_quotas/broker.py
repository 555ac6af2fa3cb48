"""Grants tokens of the shares that hosts have delegated to this one."""

import collections
from collections.abc import Hashable, Mapping, Sequence

from .bucket import QuotaBucket
from .delegations import Delegations
from .limits import QuotaLimit, QuotaSettings
from .messages import QuotaAnswer, QuotaAsk
from .retry_times import RetryTimes

MAX_STORED_ANSWERS = 2048  # of all hosts; a repeated ask comes within 0.1 s


class QuotaBroker:
    """The buckets of all teams, filled by the shares of several hosts.

    Args:
        settings: Times and bounds.
        now: Current time in seconds.
    """

    def __init__(self, settings: QuotaSettings, now: float) -> None:
        self._settings = settings
        self._delegations = Delegations(now)
        self._buckets_by_team: dict[int, QuotaBucket] = {}
        self._retries_by_team: dict[int, RetryTimes] = {}
        self._answers = collections.OrderedDict[Hashable, QuotaAnswer]()

    @property
    def share(self) -> float:
        """The part of each limit that it may grant, as of the last call."""
        return self._delegations.share

    def apply(
        self, limits: Mapping[int, QuotaLimit], now: float, *, filled: bool
    ) -> None:
        """Apply the limits of a configuration, by the hash of their team.

        Args:
            limits: The limits.
            now: Current time in seconds.
            filled: Whether the buckets of added limits start full. They may
                if nothing was counted against these limits before.
        """
        self._advance(now)
        for gone in self._buckets_by_team.keys() - limits.keys():
            self._buckets_by_team.pop(gone)
            self._retries_by_team.pop(gone)
        for team, limit in limits.items():
            bucket = self._buckets_by_team.get(team)
            if bucket is not None:
                bucket.replace_limit(limit)
                continue
            bucket = QuotaBucket(limit, self._delegations)
            if filled:
                bucket.fill_up()
            self._buckets_by_team[team] = bucket
            self._retries_by_team[team] = RetryTimes(self._settings.max_retry_s)

    def delegate(
        self, host: Hashable, share: float, until: float, now: float
    ) -> None:
        """Use the share of a host until a time on this host's clock."""
        self._advance(now)
        if not self._delegations.changes(host, share, until):
            self._delegations.set(host, share, until)
            return
        self._settle()
        self._delegations.set(host, share, until)
        self._settle()

    def withdraw(self, host: Hashable, now: float) -> None:
        """Use the share of a host no longer."""
        self._advance(now)
        self._settle()
        self._delegations.remove(host)
        self._settle()

    def answer(
        self, sender: Hashable, ask: QuotaAsk, now: float
    ) -> QuotaAnswer:
        """Return the grant for an ask; the stored one if it is repeated."""
        stored = self._answers.get((sender, ask.number))
        if stored is not None:
            return stored
        answer = self.grant(ask, now)
        self._answers[sender, ask.number] = answer
        if len(self._answers) > MAX_STORED_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def grant(self, ask: QuotaAsk, now: float) -> QuotaAnswer:
        """Grant the requests that the bucket has tokens for, and a reserve."""
        self._advance(now)
        bucket = self._buckets_by_team.get(ask.team)
        if bucket is None:
            wait_s = self._settings.reserve_s
            return QuotaAnswer(ask.number, 0, 0, wait_s, 2 * wait_s)
        bucket.settle()
        granted, refused = _divide(
            ask.costs, bucket.level, self._settings.max_debt
        )
        bucket.level -= granted
        if refused:
            waits = self._retries_by_team[ask.team].plan(bucket, refused, now)
            return QuotaAnswer(ask.number, granted, bucket.fill, *waits)
        kept = bucket.capacity * self._settings.reserve_fill
        reserve = min(ask.reserve, max(bucket.level - kept, 0))
        bucket.level -= reserve
        return QuotaAnswer(ask.number, granted + reserve, bucket.fill)

    def _advance(self, now: float) -> None:
        before = self._delegations.share
        self._delegations.advance(now)
        if self._delegations.share < before:
            self._settle()

    def _settle(self) -> None:
        for bucket in self._buckets_by_team.values():
            bucket.settle()


def _divide(
    costs: Sequence[int], level: float, max_debt: float
) -> tuple[int, list[int]]:
    """Return the sum of the costs that are granted, and the other costs.

    A request may take more than is left while anything is. If it had to wait
    for its whole cost, small requests would take the tokens meanwhile, and
    large ones of a team at its limit would hardly ever run.

    Args:
        costs: What the requests need, in their order.
        level: What is left.
        max_debt: What a request may take beyond that.
    """
    granted = 0
    refused = []
    for cost in costs:
        left = level - granted
        if cost <= left or (left > 0 and cost <= left + max_debt):
            granted += cost
        else:
            refused.append(cost)
    return granted, refused
