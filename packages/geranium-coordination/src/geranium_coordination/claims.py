"""Ensures that a call with an idempotency key is executed at most once."""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable

from .calls import CallOutcome, ClaimTicket, digest_parts
from .claim_buckets import (
    Claim,
    ClaimOperation,
    Complete,
    GiveUp,
    Release,
    Revoke,
    Settlement,
)
from .claim_committer import ClaimCommitter
from .claim_outcomes import ClaimOutcome, ClaimUnavailable
from .claim_peers import ClaimPeers
from .claim_settings import ClaimSettings
from .clock import Clock, SystemClock
from .rate_limiter import RateLimiter
from .store import ObjectStore

CLAIM_PREFIX = 'claims/'
_BUCKET_HASH_DIGITS = 8
_HEX_BASE = 16
_NO_OUTCOME = ClaimUnavailable('the owner of the bucket gave no outcome', 1)


class ClaimJournal:
    """Claims calls in the store before they are sent.

    A call may be sent only after ``claim`` returned ``Claimed``. It ends
    with ``complete``, ``give_up`` or ``release``. The journal commits only
    while ``run`` is active.

    Operations are forwarded to the host that owns the bucket, so that one
    host writes it. The at-most-once guarantee does not depend on this: every
    write is conditional, and a host that cannot reach the owner writes the
    bucket itself.

    Args:
        holder: This host with its incarnation, which is never reused
            after a restart.
        store: Object store that holds the claims.
        peers: The other hosts.
        settings: Sizes, rates and time limits.
        clock: Clock of the time limits.
    """

    def __init__(
        self,
        holder: str,
        store: ObjectStore,
        peers: ClaimPeers,
        settings: ClaimSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._tickets = _Tickets(holder)
        self._peers = peers
        self._settings = settings or ClaimSettings()
        self._clock = clock or SystemClock()
        rate_limiter = RateLimiter(
            self._clock, self._settings.writes_per_second
        )
        self._committers = tuple(
            ClaimCommitter(
                f'{CLAIM_PREFIX}{number}',
                store,
                self._settings,
                self._clock,
                rate_limiter,
                peers.is_gone,
            )
            for number in range(self._settings.buckets)
        )

    async def run(self) -> None:
        """Commit claims and outcomes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for committer in self._committers:
                group.create_task(committer.run())

    async def claim(
        self,
        team: str,
        idempotency_key: str,
        fingerprint: str,
    ) -> ClaimOutcome:
        """Claim a call; return whether it may be sent, or its earlier outcome."""
        claim_id = _claim_id(team, idempotency_key)
        ticket = self._tickets.issue(claim_id, fingerprint)
        owner = self._peers.owner_of(self._bucket(ticket))
        if owner is None:
            return await self._claim_locally(ticket)
        try:
            return await self._claim_through_owner(owner, ticket)
        except OSError:
            # The owner may have committed the claim, or may still commit it
            # and then abandon it.
            self._revoke(ticket)
        return await self._claim_locally(self._tickets.renew(ticket))

    async def execute(self, operation: ClaimOperation) -> ClaimOutcome | None:
        """Execute an operation on this host, such as a forwarded one.

        Returns the outcome of a claim. For any other operation it returns
        ``None`` once the operation is committed.
        """
        deadline = None
        if isinstance(operation, Claim):
            deadline = self._clock.now() + self._settings.claim_timeout_s
        committer = self._committer(operation.ticket)
        return await committer.submit(operation, deadline)

    async def complete(
        self,
        ticket: ClaimTicket,
        outcome: CallOutcome,
    ) -> None:
        """Store the outcome for resends; return once it is stored.

        The write is retried until the store is reachable.
        """
        body = outcome.body
        if body is not None and len(body) > self._settings.body_limit_bytes:
            outcome = dataclasses.replace(outcome, body=None)
        await self._settle(Complete(ticket, outcome))

    async def give_up(self, ticket: ClaimTicket) -> None:
        """Record that a call was sent and its outcome cannot be determined."""
        await self._settle(GiveUp(ticket))

    async def release(self, ticket: ClaimTicket) -> None:
        """Free a call that was certainly not executed; it may be sent again."""
        await self._settle(Release(ticket))

    async def _claim_through_owner(
        self, owner: str, ticket: ClaimTicket
    ) -> ClaimOutcome:
        claiming = self._peers.forward(owner, Claim(ticket))
        outcome = await self._revoke_if_cancelled(claiming, ticket)
        if outcome is None or _lingers(outcome):
            # The owner may fail before it revokes the claim.
            self._revoke(ticket)
        return outcome or _NO_OUTCOME

    async def _claim_locally(self, ticket: ClaimTicket) -> ClaimOutcome:
        claiming = self.execute(Claim(ticket))
        outcome = await self._revoke_if_cancelled(claiming, ticket)
        return outcome or _NO_OUTCOME

    async def _revoke_if_cancelled(
        self,
        claiming: Awaitable[ClaimOutcome | None],
        ticket: ClaimTicket,
    ) -> ClaimOutcome | None:
        """Revoke the attempt on cancellation: nobody will send the call."""
        try:
            return await claiming
        except asyncio.CancelledError:
            self._revoke(ticket)
            raise

    async def _settle(self, operation: Settlement) -> None:
        """Commit through the bucket's owner, or here if it is unreachable."""
        owner = self._peers.owner_of(self._bucket(operation.ticket))
        if owner is not None:
            try:
                await self._peers.forward(owner, operation)
            except OSError:
                owner = None
        if owner is None:
            await self.execute(operation)

    def _revoke(self, ticket: ClaimTicket) -> None:
        self._committer(ticket).submit(Revoke(ticket))

    def _bucket(self, ticket: ClaimTicket) -> int:
        number = int(ticket.claim_id[:_BUCKET_HASH_DIGITS], base=_HEX_BASE)
        return number % len(self._committers)

    def _committer(self, ticket: ClaimTicket) -> ClaimCommitter:
        return self._committers[self._bucket(ticket)]


class _Tickets:
    """Issues the tickets of a holder, each with a unique attempt name."""

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._numbers = itertools.count()

    def issue(self, claim_id: str, fingerprint: str) -> ClaimTicket:
        """Return the ticket of a first attempt at a call."""
        return ClaimTicket(
            claim_id,
            fingerprint,
            self._holder,
            f'{self._holder}/{next(self._numbers)}',
        )

    def renew(self, ticket: ClaimTicket) -> ClaimTicket:
        """Return the ticket of another attempt at the same call."""
        return self.issue(ticket.claim_id, ticket.fingerprint)


def _claim_id(team: str, idempotency_key: str) -> str:
    return digest_parts(team.encode(), idempotency_key.encode())


def _lingers(outcome: ClaimOutcome) -> bool:
    return isinstance(outcome, ClaimUnavailable) and outcome.lingers
