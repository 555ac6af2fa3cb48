"""Runs completions on engines: tries, resumes and ends each in one outcome."""

import asyncio
import dataclasses
import random
from http import HTTPStatus

from geranium_model import (
    Completed,
    Engine,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RanAndFailed,
    Usage,
)

from .attempts import AttemptRecorder, Attempts
from .calls import CompletionCall
from .events import EventBuffer
from .exceptions import (
    CallerGoneError,
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
)
from .fleet import Fleet, TargetLink
from .records import RequestRecord
from .settings import GatewaySettings
from .sinks import Sink
from .streams import StreamClient, final_usage

_CALLER_GONE_STATUS = 499


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionResult:
    """How a completion ended, and what it used."""

    outcome: Outcome
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A completion under way, over all of its attempts."""

    call: CompletionCall
    sink: Sink
    buffer: EventBuffer
    attempts: Attempts


class CompletionRunner:
    """Runs admitted completions, each to exactly one outcome."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        streams: StreamClient,
        recorder: AttemptRecorder,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._streams = streams
        self._recorder = recorder
        self._rng = rng
        self._cancellations: set[asyncio.Task[None]] = set()

    async def run(
        self,
        call: CompletionCall,
        sink: Sink,
        record: RequestRecord,
    ) -> CompletionResult:
        """Run a call by its deadline and return how it ended."""
        buffer = EventBuffer(call.arrival.execution_id)
        run = _Run(call, sink, buffer, Attempts(record))
        try:
            async with asyncio.timeout_at(call.arrival.deadline):
                outcome = await self._attempt_all(run)
        except TimeoutError:
            outcome = run.attempts.give_up('Deadline passed')
        except CallerGoneError as error:
            outcome = _caller_gone(run.attempts, str(error))
        return CompletionResult(outcome, _usage(run, outcome))

    async def _attempt_all(self, run: _Run) -> Outcome:
        for _ in range(self._settings.max_attempts):
            link = self._choose(run)
            if link is None:
                break
            outcome = await self._try(run, link)
            if outcome is not None:
                return outcome
        return run.attempts.give_up('No engine answered')

    async def _try(self, run: _Run, link: TargetLink) -> Outcome | None:
        """Make one attempt; return ``None`` if another may follow."""
        attempts = run.attempts
        try:
            await self._attempt(run, link)
        except TargetFailedError as failure:
            self._recorder.note_failure(attempts, link, 'failed', failure)
            return _failed(failure)
        except TargetRefusedError as refusal:
            self._recorder.note_failure(attempts, link, 'refused', refusal)
            return None
        except TargetLostError as loss:
            attempts.was_sent = True
            self._recorder.note_failure(attempts, link, 'lost', loss)
            return None
        self._recorder.note_success(link)
        return Completed()

    def _choose(self, run: _Run) -> TargetLink | None:
        links = [
            link
            for link in self._fleet.engines(run.call.service.name)
            if link.target.name not in run.attempts.excluded
        ]
        self._rng.shuffle(links)
        return min(links, key=_pressure, default=None)

    async def _attempt(self, run: _Run, link: TargetLink) -> None:
        engine = link.target
        if not isinstance(engine, Engine):
            raise TargetRefusedError(f'{engine.name} is no engine')
        run.attempts.record.note_attempt(engine.name)
        link.running += 1
        try:
            await self._relay(run, engine)
        except (TargetRefusedError, TargetFailedError):
            raise
        except BaseException:
            # The engine would go on for nobody.
            self._cancel_soon(engine, run.call.arrival.execution_id)
            raise
        finally:
            link.running -= 1

    async def _relay(self, run: _Run, engine: Engine) -> None:
        async with self._streams.open(engine, run.call, run.buffer) as stream:
            run.attempts.was_sent = True
            async for batch in stream.batches():
                run.attempts.record.note_first_token()
                await run.sink.write(batch)

    def _cancel_soon(self, engine: Engine, execution_id: str) -> None:
        cancellation = asyncio.create_task(
            self._streams.cancel(engine, execution_id),
        )
        self._cancellations.add(cancellation)
        cancellation.add_done_callback(self._cancellations.discard)


def _pressure(link: TargetLink) -> int:
    reported = link.load.running + link.load.waiting if link.load else 0
    return max(link.running, reported)


def _usage(run: _Run, outcome: Outcome) -> Usage:
    if isinstance(outcome, Completed):
        return final_usage(run.buffer.last_payload)
    if not run.attempts.was_sent:
        return Usage()
    return Usage(run.call.prompt_tokens, run.buffer.next_offset, requests=1)


def _failed(failure: TargetFailedError) -> Outcome:
    if failure.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return RanAndFailed(
            'Refused by the model',
            str(failure),
            failure.status,
        )
    return RanAndFailed('Failed on the engine', str(failure))


def _caller_gone(attempts: Attempts, detail: str) -> Outcome:
    if attempts.was_sent:
        return OutcomeUnknown('Caller gone', detail, _CALLER_GONE_STATUS)
    return NotRun(_CALLER_GONE_STATUS, 'Caller gone', detail)
