"""At most one execution of each non-idempotent call with a key."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

from .calls import CallOutcome, ClaimTicket, digest_parts
from .claim_buckets import Claim, Complete, GiveUp, Release
from .claim_committer import ClaimCommitter
from .claim_outcomes import ClaimOutcome
from .claim_settings import ClaimSettings
from .clock import Clock, SystemClock
from .pace import Pace
from .store import ObjectStore

CLAIM_PREFIX = 'claims/'
_BUCKET_HASH_DIGITS = 8
_HEX_BASE = 16


class ClaimJournal:
    """Claims calls in the store before they are sent.

    A call may be sent only after ``claim`` answered ``Claimed``. Then it is
    ended by ``complete``, ``give_up`` or ``release``. The journal works
    while ``run`` does.

    Args:
        holder: This host with its incarnation, never the same again after
            a restart.
        store: Where claims are kept.
        is_gone: Tells whether a holder can't be running calls any more;
            the calls that it held then have an unknown outcome.
        settings: Sizes and time limits.
        clock: The clock of the time limits.
    """

    def __init__(
        self,
        holder: str,
        store: ObjectStore,
        is_gone: Callable[[str], bool],
        settings: ClaimSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._holder = holder
        self._settings = settings or ClaimSettings()
        self._clock = clock or SystemClock()
        self._attempts = itertools.count()
        pace = Pace(self._clock, self._settings.writes_per_second)
        self._committers = tuple(
            ClaimCommitter(
                f'{CLAIM_PREFIX}{number}',
                store,
                self._settings,
                self._clock,
                pace,
                is_gone,
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
        """Return whether a call may be sent, or what became of it before."""
        ticket = self._ticket(team, idempotency_key, fingerprint)
        deadline = self._clock.now() + self._settings.claim_timeout_s
        answer = self._committer(ticket).submit(Claim(ticket), deadline)
        try:
            outcome = await answer
        except asyncio.CancelledError:
            # The caller left: nobody will send what may be claimed yet.
            self._committer(ticket).submit(Release(ticket))
            raise
        assert outcome is not None
        return outcome

    async def complete(
        self,
        ticket: ClaimTicket,
        outcome: CallOutcome,
    ) -> None:
        """Keep the outcome for resends; return once it is stored.

        It is stored as soon as the store can be reached, also if the caller
        stops waiting.
        """
        body = outcome.body
        if body is not None and len(body) > self._settings.body_limit_bytes:
            outcome = dataclasses.replace(outcome, body=None)
        await self._submit(Complete(ticket, outcome))

    async def give_up(self, ticket: ClaimTicket) -> None:
        """Note that the call was sent and its outcome won't be known."""
        await self._submit(GiveUp(ticket))

    async def release(self, ticket: ClaimTicket) -> None:
        """Free a call that was certainly not run, so that it may be sent."""
        await self._submit(Release(ticket))

    async def _submit(self, operation: Complete | GiveUp | Release) -> None:
        await self._committer(operation.ticket).submit(operation)

    def _committer(self, ticket: ClaimTicket) -> ClaimCommitter:
        number = int(ticket.claim_id[:_BUCKET_HASH_DIGITS], base=_HEX_BASE)
        return self._committers[number % len(self._committers)]

    def _ticket(
        self,
        team: str,
        idempotency_key: str,
        fingerprint: str,
    ) -> ClaimTicket:
        return ClaimTicket(
            digest_parts(team.encode(), idempotency_key.encode()),
            fingerprint,
            self._holder,
            f'{self._holder}/{next(self._attempts)}',
        )
