"""Limits the damage of requests that crash engines.

A request that was running on an engine when it crashed is a suspect. Suspects
run alone on an engine, so that a crash affects no other request. Requests whose
prompts begin alike may crash engines too, one after the other; they don't run.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from http import HTTPStatus

from geranium_model import NotRun, Outcome, RanAndFailed
from geranium_policy import Verdict, prefix_hashes, request_fingerprint
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import isolation_target

from ..backends import EngineClient
from ..process import TargetError, get_logger
from ..state import Context, EngineEntry
from .calls import CompletionCall

HARMFUL_PROMPT_RETRY_S = 30
CRASHES_ENGINES = RanAndFailed(
    'Crashes its engines',
    'The request crashed each engine that ran it; it is not run again.',
    HTTPStatus.UNPROCESSABLE_ENTITY,
)
NO_ISOLATED_ENGINE = NotRun(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'No engine apart',
    'The request was running on an engine that crashed; it runs again only '
    'apart from other work, and no engine was free for that.',
    retry_after_s=5,
)
HARMFUL_PROMPT = NotRun(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'Harmful prompt',
    'Engines crashed under requests whose prompts begin like this one.',
    retry_after_s=HARMFUL_PROMPT_RETRY_S,
)
_POLL_S = 0.1
REPORT_TIMEOUT_S = 3  # live engines report several times a second


class SuspectGuard:
    """Records engine crashes and isolates suspects from other requests.

    While a suspect runs, this daemon sends nothing else to that engine, and
    neither do its peers once the reservation has reached them.
    """

    def __init__(self, context: Context, engines: EngineClient) -> None:
        self._register = context.suspects
        settings = CrashCauseSettings()
        # No trial would end a wrong conclusion earlier.
        self._causes = CrashCauses(
            dataclasses.replace(
                settings, confirmed_evidence_s=settings.evidence_s
            ),
            context.suspects,
        )
        self._fleet = context.fleet
        self._gossip = context.gossip
        self._clock = context.clock
        self._engines = engines
        self._log = get_logger()
        self._locks_by_service: dict[str, asyncio.Lock] = {}

    def verdict(self, call: CompletionCall) -> Verdict:
        """Return whether a call may run, run isolated or is rejected."""
        return self._causes.verdict(_fingerprints(call), self._clock.now())

    def rejection(self, call: CompletionCall, *, was_sent: bool) -> Outcome:
        """Return the outcome of a rejected call."""
        fingerprint = _fingerprints(call).request
        verdict = self._register.verdict(fingerprint, self._clock.now())
        if was_sent or verdict is Verdict.REJECT:
            return CRASHES_ENGINES
        return HARMFUL_PROMPT

    async def record_lost_connection(
        self, call: CompletionCall, entry: EngineEntry
    ) -> None:
        """Check whether the engine crashed; if so, record and broadcast it."""
        instance = entry.instance
        if not await self._has_crashed(entry, instance):
            return
        crash_id = f'{entry.name}/{instance}'
        self._causes.record_crash(
            _fingerprints(call),
            crash_id,
            self._clock.now(),
        )
        self._gossip.notify_peers()
        self._log.warning(
            'engine_crashed',
            engine=entry.name,
            crash_id=crash_id,
            request_id=call.incoming.request_id,
            team=call.team,
        )

    def clear(self, call: CompletionCall) -> None:
        """Clear a completed call, and how its prompt begins, of crashes."""
        now = self._clock.now()
        if self._causes.record_completion(_fingerprints(call), now):
            self._gossip.notify_peers()

    @asynccontextmanager
    async def reserve(
        self,
        call: CompletionCall,
        excluded: Collection[str],
    ) -> AsyncIterator[EngineEntry | None]:
        """Reserve an idle engine for the body of the ``async with``.

        Yields ``None`` if every accepting engine is excluded, or if the chosen
        engine does not become idle by the call's deadline or stops reporting.
        """
        service = call.service.name
        lock = self._locks_by_service.setdefault(service, asyncio.Lock())
        async with lock:
            entry = self._select_isolated(service, excluded)
            if entry is None:
                yield None
                return
            entry.reservations += 1
            self._gossip.notify_peers()
            try:
                is_idle = await self._wait_idle(entry, call.incoming.deadline)
                yield entry if is_idle else None
            finally:
                entry.reservations -= 1

    def _select_isolated(
        self,
        service: str,
        excluded: Collection[str],
    ) -> EngineEntry | None:
        entries_by_name = {
            entry.name: entry
            for entry in self._fleet.engines(service)
            if entry.view.accepting
            and entry.name not in excluded
            and self._is_reporting(entry)
        }
        chosen = isolation_target(service, entries_by_name)
        return None if chosen is None else entries_by_name[chosen]

    async def _wait_idle(self, entry: EngineEntry, deadline: float) -> bool:
        while entry.view.sequences():
            # The last report of a crashed engine never changes.
            if not self._is_reporting(entry):
                return False
            if self._clock.now() + _POLL_S >= deadline:
                return False
            await asyncio.sleep(_POLL_S)
        return True

    def _is_reporting(self, entry: EngineEntry) -> bool:
        load = entry.view.load
        if load is None:
            return True
        return self._clock.now() - load.sampled_at <= REPORT_TIMEOUT_S

    async def _has_crashed(self, entry: EngineEntry, instance: str) -> bool:
        try:
            report = await self._engines.load(entry.target, self._clock.now())
        except TargetError:
            return True
        return report.instance != instance


def _fingerprints(call: CompletionCall) -> RequestFingerprints:
    """Return the fingerprints of a call and of how its prompt begins.

    The hashes cover 1, 2, 4 and so on blocks of the prompt, which bounds
    their number.
    """
    hashes = prefix_hashes(call.prompt_text)
    lengths = (1 << power for power in range(len(hashes).bit_length()))
    service = call.service.name
    return RequestFingerprints(
        request_fingerprint(call.team, call.body),
        tuple(
            request_fingerprint(f'prefix {service}', b'%d' % hashes[length - 1])
            for length in lengths
        ),
    )
