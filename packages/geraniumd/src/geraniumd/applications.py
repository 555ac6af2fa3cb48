"""Runs calls to application targets, non-idempotent ones at most once."""

import asyncio
import random
from typing import TypeAlias

from geranium_model import Outcome, Target

from .attempts import AttemptRecorder, Attempts
from .exceptions import TargetLostError, TargetRefusedError
from .fleet import Fleet, TargetLink
from .records import RequestRecord
from .settings import GatewaySettings
from .targets import ApplicationAnswer, ApplicationCall, TargetClient

ApplicationResult: TypeAlias = ApplicationAnswer | Outcome


class ApplicationRunner:
    """Runs admitted calls, each to a target's answer or one outcome."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        client: TargetClient,
        recorder: AttemptRecorder,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self._recorder = recorder
        self._rng = rng

    async def run(
        self,
        call: ApplicationCall,
        record: RequestRecord,
    ) -> ApplicationResult:
        """Run a call by its deadline."""
        attempts = Attempts(record)
        try:
            async with asyncio.timeout_at(call.arrival.deadline):
                return await self._attempt_all(call, attempts)
        except TimeoutError:
            return attempts.give_up('Deadline passed')

    async def _attempt_all(
        self,
        call: ApplicationCall,
        attempts: Attempts,
    ) -> ApplicationResult:
        for _ in range(self._settings.max_attempts):
            link = self._choose(call.service, attempts)
            if link is None:
                break
            answer = await self._try(call, attempts, link)
            if answer is not None:
                return answer
            if not _may_go_on(call, attempts):
                break
        return attempts.give_up('No target answered')

    async def _try(
        self,
        call: ApplicationCall,
        attempts: Attempts,
        link: TargetLink,
    ) -> ApplicationAnswer | None:
        """Make one attempt; return ``None`` if it brought no answer."""
        try:
            return await self._attempt(call, attempts, link)
        except TargetRefusedError as refusal:
            self._recorder.note_failure(attempts, link, 'refused', refusal)
        except TargetLostError as loss:
            self._recorder.note_failure(attempts, link, 'lost', loss)
        return None

    def _choose(self, service: str, attempts: Attempts) -> TargetLink | None:
        links = [
            link
            for link in self._fleet.application_targets(service)
            if link.target.name not in attempts.excluded
        ]
        self._rng.shuffle(links)
        return min(links, key=lambda link: link.running, default=None)

    async def _attempt(
        self,
        call: ApplicationCall,
        attempts: Attempts,
        link: TargetLink,
    ) -> ApplicationAnswer:
        target = link.target
        if not isinstance(target, Target):
            raise TargetRefusedError(f'{target.name} is no target')
        attempts.record.note_attempt(target.name)
        was_sent_before = attempts.was_sent
        attempts.was_sent = True
        link.running += 1
        try:
            answer = await self._client.call(target, call)
        except TargetRefusedError:
            attempts.was_sent = was_sent_before
            raise
        finally:
            link.running -= 1
        self._recorder.note_success(link)
        return answer


def _may_go_on(call: ApplicationCall, attempts: Attempts) -> bool:
    return call.is_repeatable or not attempts.was_sent
