"""The state of a host and its calls to targets, without a store."""

import dataclasses
import math
import random
from typing import Any

import geranium_relay as relay
from geranium_platform.documents import decode_target
from geranium_platform.host_state import HostState
from geranium_platform.object_store import PlatformStore
from geranium_platform.target_calls import TargetCalls, TargetCallSettings
from geranium_relay.run_context import fingerprints_of

from .conftest import make_settings, target_entry

PROFILE = relay.EngineProfile(slots=6, kv_tokens=1000)
ROUTE = relay.Route(
    name='r',
    host='example',
    prefix='/',
    kind=relay.RouteKind.SAFE,
    resumable=False,
    timeout_s=1,
    target_latency_s=1,
    target_gap_s=1,
    priority=0,
    max_attempts=1,
    public=True,
    shares=(relay.Share('app', 1),),
)
PROMPT = relay.Prompt(100, 10, (relay.PromptPart('p', 90),))


class HostParts:
    """The parts of a host that use targets."""

    def __init__(self, **changes: object) -> None:
        clock = relay.BootClock()
        settings = make_settings(
            platform={'address': '127.0.0.1:1'}
        ).model_copy(update=changes)
        self.clock = clock
        self.lines: list[str] = []
        log = relay.DecisionLog(
            relay.LogSettings(), self.lines.append, clock.now
        )
        store = PlatformStore(relay.StoreSettings('127.0.0.1:1'))
        self.state = HostState(settings, clock, random.Random(1), log, store)
        self.calls = TargetCalls(
            TargetCallSettings(), clock.now, log, self.state.notices
        )

    def call(self, target: relay.Target) -> relay.TargetCall:
        """Return a call with a prompt to a target."""
        job = self.job()
        return relay.TargetCall(
            job,
            target,
            self.clock.now() + 1,
            may_repeat=job.route.repeatable,
        )

    def job(self, prompt: relay.Prompt | None = PROMPT) -> relay.Job:
        """Return a job of the service of targets."""
        now = self.clock.now()
        arrival = relay.IncomingRequest(
            identity='r1',
            method='POST',
            path='/x',
            headers=(),
            body=b'',
            arrived_at=now,
            caller_deadline=math.inf,
            resume_after=None,
            prompt=prompt,
        )
        return relay.Job(
            arrival,
            ROUTE,
            'app',
            None,
            now + 1,
            fingerprints_of(arrival, None, 'app'),
        )


def make_target(**changes: Any) -> relay.Target:
    """Return a target, with changes that no entry can have."""
    target = decode_target('t1', target_entry('127.0.0.1:9'))
    return dataclasses.replace(target, **changes)
