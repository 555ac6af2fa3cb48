"""Runs non-idempotent calls with an ``Idempotency-Key`` at most once."""

import asyncio
from http import HTTPStatus

from geranium_coordination import (
    AlreadyCompleted,
    CallOutcome,
    Claimed,
    ClaimJournal,
    ClaimTicket,
    ClaimUnavailable,
    InProgress,
    Mismatch,
    Unknown,
    call_fingerprint,
    make_call_outcome,
)
from geranium_model import NotRun, OutcomeUnknown
from multidict import CIMultiDict

from ..state import RequestRecord
from .applications import ApplicationResult, ApplicationRunner
from .targets import ApplicationCall, ApplicationResponse

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 255

# A response waits at most this long for its outcome to be stored, which lets
# resends replay it.
_STORE_WAIT_S = 0.5
_IN_PROGRESS_RETRY_AFTER_S = 1


class IdempotentRunner:
    """Claims a call in the platform before sending any byte of it.

    Calls without the header and repeatable calls need no claim.
    """

    def __init__(
        self,
        runner: ApplicationRunner,
        journal: ClaimJournal,
    ) -> None:
        self._runner = runner
        self._journal = journal
        self._pending_stores: set[asyncio.Task[None]] = set()

    async def run(
        self,
        call: ApplicationCall,
        record: RequestRecord,
    ) -> ApplicationResult:
        """Run a call until its deadline, or replay its stored outcome."""
        key = call.headers.get(IDEMPOTENCY_KEY_HEADER)
        if call.is_repeatable or key is None:
            return await self._runner.run(call, record)
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            return NotRun(
                HTTPStatus.BAD_REQUEST,
                'Malformed header',
                f'{IDEMPOTENCY_KEY_HEADER}: wants 1 to '
                f'{MAX_KEY_CHARACTERS} characters',
            )
        return await self._run_claimed(call, key, record)

    async def flush(self) -> None:
        """Wait until the outcomes of all completed calls are stored."""
        if self._pending_stores:
            await asyncio.wait(self._pending_stores)

    async def _run_claimed(
        self,
        call: ApplicationCall,
        key: str,
        record: RequestRecord,
    ) -> ApplicationResult:
        fingerprint = call_fingerprint(call.method, call.path, call.body)
        outcome = await self._journal.claim(call.team, key, fingerprint)
        record.add_step(f'claim: {type(outcome).__name__}')
        match outcome:
            case Claimed(ticket=ticket):
                return await self._run_once(call, ticket, record)
            case AlreadyCompleted(outcome=stored):
                return _replay(stored)
            case InProgress() | Unknown() | Mismatch() | ClaimUnavailable():
                return _refusal(outcome)

    async def _run_once(
        self,
        call: ApplicationCall,
        ticket: ClaimTicket,
        record: RequestRecord,
    ) -> ApplicationResult:
        result = await self._runner.run(call, record)
        pending_store = asyncio.create_task(self._store_outcome(ticket, result))
        self._pending_stores.add(pending_store)
        pending_store.add_done_callback(self._pending_stores.discard)
        await asyncio.wait({pending_store}, timeout=_STORE_WAIT_S)
        return result

    async def _store_outcome(
        self,
        ticket: ClaimTicket,
        result: ApplicationResult,
    ) -> None:
        match result:
            case ApplicationResponse():
                outcome = make_call_outcome(
                    result.status,
                    tuple(result.headers.items()),
                    result.body,
                )
                await self._journal.complete(ticket, outcome)
            case NotRun():
                await self._journal.release(ticket)
            case _:
                await self._journal.give_up(ticket)


def _replay(stored: CallOutcome) -> ApplicationResult:
    if stored.body is None:
        return OutcomeUnknown(
            'Answer not kept',
            'The call ran before; its answer was too large to keep.',
            HTTPStatus.CONFLICT,
        )
    headers = CIMultiDict(stored.headers)
    headers['Idempotency-Replayed'] = 'true'
    return ApplicationResponse(stored.status, headers, stored.body)


def _refusal(
    outcome: InProgress | Unknown | Mismatch | ClaimUnavailable,
) -> ApplicationResult:
    match outcome:
        case InProgress(holder=holder):
            return OutcomeUnknown(
                'Still running',
                f'The same call is running through {holder}.',
                HTTPStatus.CONFLICT,
                retry_after_s=_IN_PROGRESS_RETRY_AFTER_S,
            )
        case Unknown():
            return OutcomeUnknown(
                'Outcome unknown',
                'The call may have run before; it is not sent again.',
                HTTPStatus.CONFLICT,
            )
        case Mismatch():
            return NotRun(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'Key used for another call',
                'The idempotency key was used for a different request.',
            )
        case ClaimUnavailable(detail=detail, retry_after_s=retry_after_s):
            return NotRun(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'Claim not possible',
                detail,
                retry_after_s=retry_after_s,
            )
