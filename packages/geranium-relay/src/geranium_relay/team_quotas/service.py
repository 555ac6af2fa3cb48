"""Takes the tokens of requests from the quotas of their teams."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Container, Iterator
from typing import TypeAlias

from geranium_policy.team_quotas import (
    Debit,
    Decision,
    HostName,
    OverLimit,
    QuotaAnswer,
    QuotaLimit,
    QuotaMember,
    QuotaMessage,
    QuotaSettings,
    TeamAsks,
)

from ..catalogue import Catalogue, Team
from ..catalogue_view import CatalogueView
from ..decision_log import DecisionLog
from ..messages import Job
from ..outcomes import OverQuota
from ..peer_updates import name_hash
from ..peers import Peers
from ..telemetry import Telemetry
from .exchange import QuotaExchange

TICK_S = 0.4  # two renewals may be lost before a delegation ends
# After the list of hosts was read, until the others count this host. A
# delegation of the process before it may last a moment longer; the overage
# covers that. With 1.2 s, all limited teams were refused after a restart.
SETTLE_S = 0.3
TIMER_MARGIN_S = 0.001  # the event loop's clock may be slightly ahead


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Tokens that a request has taken.

    ``debit`` is ``None`` if the team has no limit.
    """

    team: int = 0
    debit: Debit | None = None


_NO_LIMIT = QuotaGrant()

Waiter: TypeAlias = asyncio.Future[Decision]
LimitedTeam: TypeAlias = tuple[Team, QuotaLimit]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSources:
    """What the quotas of a host depend on.

    Args:
        view: The catalogue, which has the limits.
        peers: The other hosts.
        is_listed: Returns whether the list of hosts has been read.
        is_serving: Returns whether this host is ready and not about to stop.
        random: Spreads the times at which callers return.
    """

    view: CatalogueView
    peers: Peers
    is_listed: Callable[[], bool]
    is_serving: Callable[[], bool]
    random: random.Random


class TeamQuotas:
    """The quotas of all teams, as one host knows them.

    Args:
        settings: Window and overage of the limits.
        sources: What it depends on.
        port_offset: Distance from the port of peer updates to that of
            quotas; with 0, the host spends its own share alone.
        clock: Returns the current time in seconds; it includes suspension.
        telemetry: Counts tokens by team.
        log: Receives a record of each refusal.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        sources: QuotaSources,
        port_offset: int,
        clock: Callable[[], float],
        telemetry: Telemetry,
        log: DecisionLog,
    ) -> None:
        self._sources = sources
        self._clock = clock
        self._telemetry = telemetry
        self._log = log
        own = sources.peers.own
        self._member = QuotaMember(
            HostName(own.host, own.incarnation), settings, clock()
        )
        self._exchange = QuotaExchange(
            sources.peers, port_offset, self._receive, log
        )
        self._waiting = _WaitingTeams(self._member, self._exchange, clock)
        self._catalogue: Catalogue | None = None
        self._names_by_team: dict[int, str] = {}
        self._share_from = math.inf

    @property
    def member(self) -> QuotaMember:
        """The state that is shared with the other hosts."""
        return self._member

    def replace_settings(self, settings: QuotaSettings) -> None:
        """Replace window and overage."""
        self._member.replace_settings(settings)

    async def take(self, job: Job) -> QuotaGrant | OverQuota:
        """Take the tokens of a request, or return that it is over the quota.

        Requests that another host passed on were charged there.
        """
        team = job.team
        if team is None or team.quota is None or job.forwarded:
            return _NO_LIMIT
        self._apply_catalogue()
        key = name_hash(team.name)
        account = self._member.accounts_by_team.get(key)
        if account is None or account.is_free(self._clock()):
            return _NO_LIMIT
        cost = team.quota.cost_of(job.arrival.tokens)
        decision = await self._waiting.request(key, cost)
        if isinstance(decision, Debit):
            return QuotaGrant(key, decision)
        return self._refuse(job, cost, decision)

    def give_back(self, grant: QuotaGrant) -> None:
        """Return the tokens of a request that has not run."""
        if grant.debit is not None:
            self._waiting.give_back(grant.team, grant.debit)

    async def run(self) -> None:
        """Keep the shares delegated until cancelled."""
        try:
            while True:
                self._apply_catalogue()
                share = self._share()
                if self._names_by_team:
                    await self._exchange.open()
                    self._renew(share)
                await asyncio.sleep(TICK_S)
        finally:
            self._exchange.close()

    def _renew(self, share: float) -> None:
        choice = self._member.choice
        before = choice.broker
        message = self._member.tick(self._candidates(), share, self._clock())
        if choice.broker != before:
            self._log.record(
                'quota_broker_changed', broker=choice.broker, previous=before
            )
        if message is not None:
            self._exchange.send(choice.broker, message)
        self._record_counts()

    def _share(self) -> float:
        """Return this host's part of the limits.

        It has none before it can know how many hosts there are, and none when
        it leaves: the others then divide the limits without it.
        """
        sources = self._sources
        now = self._clock()
        if sources.is_listed():
            self._share_from = min(self._share_from, now + SETTLE_S)
        if now < self._share_from or not sources.is_serving():
            return 0
        return 1 / sources.peers.recent_count()

    def _candidates(self) -> tuple[str, ...]:
        """Return the hosts that can be the broker, the strongest first."""
        peers = self._sources.peers
        hosts = list(peers.usable()) if self._exchange.is_open else []
        if self._sources.is_serving():
            hosts.append(peers.own)
        hosts.sort(key=lambda peer: peer.precedence)
        return tuple(peer.host for peer in hosts)

    def _apply_catalogue(self) -> None:
        """Apply the limits of the catalogue, if it has changed."""
        catalogue = self._sources.view.catalogue
        if catalogue is None or catalogue is self._catalogue:
            return
        self._catalogue = catalogue
        limited = dict(_limited_teams(catalogue))
        self._names_by_team = {
            key: team.name for key, (team, _) in limited.items()
        }
        limits = {key: limit for key, (_, limit) in limited.items()}
        self._member.apply(limits, self._clock())
        self._waiting.keep_only(limits.keys())

    def _receive(
        self, sender: HostName, message: QuotaMessage
    ) -> QuotaMessage | None:
        if isinstance(message, QuotaAnswer):
            self._waiting.accept(sender.host, message)
            return None
        self._apply_catalogue()
        return self._member.receive(sender, message, self._clock())

    def _refuse(self, job: Job, cost: int, decision: OverLimit) -> OverQuota:
        now = self._clock()
        wait_s = self._sources.random.uniform(
            decision.retry_from_s, decision.retry_until_s
        )
        team = '' if job.team is None else job.team.name
        account = self._member.accounts_by_team.get(name_hash(team))
        if account is not None:
            age_s = now - account.granted_at
            self._log.record(
                'quota_refused',
                request=job.arrival.identity,
                team=team,
                reason=decision.reason,
                cost=cost,
                balance=round(account.balance(now)),
                age_s=round(age_s, 3) if math.isfinite(age_s) else None,
                fill=decision.fill,
                broker=self._member.choice.broker,
                retry_after_s=round(wait_s, 3),
            )
        return OverQuota(wait_s)

    def _record_counts(self) -> None:
        accounts = self._member.accounts_by_team
        for key, name in self._names_by_team.items():
            for kind, amount in accounts[key].take_counts():
                self._telemetry.record_quota(name, kind, amount)


class _WaitingTeams:
    """The requests that wait for answers, by team, and their timers."""

    def __init__(
        self,
        member: QuotaMember,
        exchange: QuotaExchange,
        clock: Callable[[], float],
    ) -> None:
        self._member = member
        self._exchange = exchange
        self._clock = clock
        self._asks_by_team: dict[int, TeamAsks[Waiter]] = {}
        self._timers_by_team: dict[int, asyncio.TimerHandle] = {}

    async def request(self, team: int, cost: int) -> Decision:
        """Return the decision on a request of a limited team."""
        asks = self._asks_by_team.get(team)
        if asks is None:
            asks = TeamAsks(
                team,
                self._member,
                self._exchange.send,
                lambda waiter, decision: self._decide(team, waiter, decision),
            )
            self._asks_by_team[team] = asks
        waiter: Waiter = asyncio.get_running_loop().create_future()
        decision = asks.request(cost, waiter, self._clock())
        if decision is not None:
            return decision
        self._set_timer(team)
        return await waiter

    def accept(self, broker: str, answer: QuotaAnswer) -> None:
        """Apply the answer of a broker."""
        for team, asks in tuple(self._asks_by_team.items()):
            if asks.awaits(answer.number):
                asks.accept(broker, answer, self._clock())
                self._set_timer(team)

    def give_back(self, team: int, debit: Debit) -> None:
        """Return tokens to the account of a team, if it still has one."""
        account = self._member.accounts_by_team.get(team)
        if account is not None:
            account.give_back(debit, self._clock())

    def keep_only(self, teams: Container[int]) -> None:
        """Admit what waits for teams that have no limit any more."""
        for team in tuple(self._asks_by_team):
            if team not in teams:
                self._asks_by_team.pop(team).close()

    def _decide(self, team: int, waiter: Waiter, decision: Decision) -> None:
        if not waiter.done():
            waiter.set_result(decision)
        elif isinstance(decision, Debit):
            # The caller has left.
            self.give_back(team, decision)

    def _set_timer(self, team: int) -> None:
        """Let the open ask of a team expire, with one timer for each team."""
        deadline = self._asks_by_team[team].deadline
        if deadline is None or team in self._timers_by_team:
            return
        delay_s = max(deadline - self._clock(), 0) + TIMER_MARGIN_S
        loop = asyncio.get_running_loop()
        self._timers_by_team[team] = loop.call_later(
            delay_s, self._expire, team
        )

    def _expire(self, team: int) -> None:
        self._timers_by_team.pop(team, None)
        asks = self._asks_by_team.get(team)
        if asks is not None:
            asks.expire(self._clock())
            self._set_timer(team)


def _limited_teams(
    catalogue: Catalogue,
) -> Iterator[tuple[int, LimitedTeam]]:
    for team in catalogue.teams_by_key.values():
        if team.quota is not None:
            yield name_hash(team.name), (team, team.quota)
