"""The configuration version in force on a host, and its freshness."""

import asyncio
from collections.abc import Callable, Iterable
from typing import TypeAlias

from .clock import Clock, SystemClock
from .configuration_changes import PendingWithdrawal
from .configuration_settings import FreshnessSettings
from .freshness import (
    Admission,
    Confirmations,
    Fresh,
    FreshnessReport,
    PendingWithdrawals,
    Stale,
)
from .loaded_configuration import LoadedConfiguration

_Listener: TypeAlias = Callable[[LoadedConfiguration], None]


class ConfigurationReplica:
    """Holds the highest version received; the version never decreases.

    Instants are in seconds on the clock. Callers that query the store or a
    peer pass the instant before they sent the request, so that the time in
    transit does not count as fresh.

    Args:
        host: The name of this host.
        settings: How long confirmations and withdrawals count.
        clock: Clock of all instants.
    """

    def __init__(
        self,
        host: str,
        settings: FreshnessSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._host = host
        self._settings = settings or FreshnessSettings()
        self._clock = clock or SystemClock()
        self._loaded = LoadedConfiguration()
        self._confirmations = Confirmations(
            host,
            self._clock.now() + self._settings.withdrawal_hold_s,
        )
        self._withdrawals = PendingWithdrawals(self._settings.withdrawal_hold_s)
        self._listeners: list[_Listener] = []
        self._applied = asyncio.Event()

    @property
    def loaded(self) -> LoadedConfiguration:
        """The version in force."""
        return self._loaded

    @property
    def version(self) -> int:
        """The number of the version in force; 0 before the first one."""
        return self._loaded.version

    def subscribe(self, listener: _Listener) -> None:
        """Call the listener with each new version in force."""
        self._listeners.append(listener)

    async def wait_for(self, version: int) -> LoadedConfiguration:
        """Wait for at least this version; return the version in force."""
        while self._loaded.version < version:
            await self._applied.wait()
        return self._loaded

    def apply(self, loaded: LoadedConfiguration) -> bool:
        """Put a version in force if it is higher; return whether it was."""
        if loaded.version <= self._loaded.version:
            return False
        self._loaded = loaded
        self._drop_decided()
        for listener in self._listeners:
            listener(loaded)
        self._applied.set()
        self._applied = asyncio.Event()
        return True

    def confirm(self, version: int, sent_at: float) -> None:
        """Record that the store held this version at the instant.

        This counts only if that version or a higher one is in force here.
        """
        if version <= self._loaded.version:
            self._confirmations.confirm_by_store(sent_at)
            self._drop_decided()

    def update_voters(self, voters: Iterable[str]) -> None:
        """Set the hosts whose majority can replace the store's confirmation.

        This requires that every withdrawal is announced to a majority of the
        same hosts before it is accepted. Without voters only the store's
        confirmation counts.
        """
        self._confirmations.quorum.update_voters(voters)

    def suspend_keys(
        self, pending: PendingWithdrawal, age_s: float = 0
    ) -> bool:
        """Refuse keys from now on, before their withdrawal is accepted.

        Returns whether this host counts as a voter.
        """
        announced_at = self._clock.now() - age_s
        if pending.base_version >= self._loaded.version:
            self._withdrawals.hold(pending, announced_at)
            self._drop_decided()
        return self._confirmations.votes

    def merge_report(self, report: FreshnessReport, sent_at: float) -> None:
        """Apply a peer's response to a request sent at the instant.

        A report of a higher version confirms nothing: the caller fetches
        that version and sends a new request.
        """
        for held in report.withdrawals:
            self.suspend_keys(held.pending, held.age_s)
        if report.version > self._loaded.version:
            return
        if report.store_age_s is not None:
            self.confirm(report.version, sent_at - report.store_age_s)
        if report.quorum_age_s is not None:
            quorum_at = sent_at - report.quorum_age_s
            self._confirmations.confirm_by_quorum(quorum_at)
        if report.votes:
            self._confirmations.quorum.record_response(report.host, sent_at)

    def report(self) -> FreshnessReport:
        """Return the freshness report for a peer."""
        now = self._clock.now()
        return FreshnessReport(
            self._host,
            self._loaded.version,
            _age(now, self._confirmations.store_at),
            _age(now, self._confirmations.quorum_at(now)),
            self._confirmations.votes,
            self._withdrawals.reported(now),
        )

    def admission(self, now: float) -> Admission:
        """Return whether requests with a key may be admitted at this instant."""
        confirmed_at = self._confirmations.latest_at(now)
        if confirmed_at is None:
            return Stale(None)
        until = confirmed_at + self._settings.confirmation_s
        return Fresh(until) if now < until else Stale(until)

    def is_suspended(self, key_digest: str) -> bool:
        """Return whether a key must be refused because of a pending withdrawal."""
        return key_digest in self._withdrawals

    def _drop_decided(self) -> None:
        self._withdrawals.drop_decided(
            self.version,
            self._confirmations.store_at,
        )


def _age(now: float, instant: float | None) -> float | None:
    return None if instant is None else now - instant
