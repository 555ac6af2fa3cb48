"""Calls to one target on bare connections, without a host."""

import contextlib
import time
from collections.abc import AsyncIterator

import geranium_relay as relay
from geranium_platform.target_calls import TargetCalls, TargetCallSettings
from geranium_policy.crash_causes import RequestFingerprints

TEAM = relay.Team('team', None)


def make_route(kind: relay.RouteKind) -> relay.Route:
    """Return a route of a kind; streams on it may be resumed."""
    return relay.Route(
        name='route',
        host='example',
        prefix='/',
        kind=kind,
        resumable=kind is relay.RouteKind.STREAM,
        timeout_s=2,
        target_latency_s=0.2,
        target_gap_s=0.25,
        priority=0,
        max_attempts=2,
        public=False,
        shares=(relay.Share('app', 1),),
    )


class TargetCaller:
    """Sends calls to a target and keeps what its responses say of it."""

    def __init__(self, address: str) -> None:
        now = time.monotonic
        log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, now)
        self.target = relay.Target(
            identity='t1',
            born_ms=1,
            service='app',
            address=address,
            zone='a',
            slots=6,
            leaving=False,
            reclaimable=False,
            stage=None,
            weights_version=None,
        )
        self.notices = relay.TargetNotices(
            now,
            log,
            relay.TargetRateLimits(
                'host-1', lambda _key: {'host-1': True}, now, time.time, log
            ),
        )
        self.calls = TargetCalls(TargetCallSettings(), now, log, self.notices)

    def call(
        self, identity: str, kind: relay.RouteKind = relay.RouteKind.SAFE
    ) -> relay.TargetCall:
        """Return the call for a request."""
        now = time.monotonic()
        job = relay.Job(
            relay.IncomingRequest(
                identity=identity,
                method='POST',
                path='/safe/x',
                headers=(('Host', 'example'),),
                body=b'body',
                arrived_at=now,
                caller_deadline=now + 2,
                resume_after=None,
                prompt=None,
            ),
            make_route(kind),
            'app',
            TEAM,
            now + 2,
            RequestFingerprints(1),
        )
        return relay.TargetCall(
            job,
            self.target,
            now + 2,
            may_repeat=kind is not relay.RouteKind.UNSAFE,
        )

    async def send(
        self, identity: str, kind: relay.RouteKind = relay.RouteKind.SAFE
    ) -> tuple[int, bytes] | type[relay.RelayError]:
        """Return the response to a request, or the type of its error."""
        try:
            response = await self.calls.send(self.call(identity, kind))
            body = await response.read(65536)
        except relay.RelayError as error:
            return type(error)
        response.close()
        return response.head.status, body

    async def read_prompt(self, identity: str) -> str | type[relay.RelayError]:
        """Return the handle of a prefilled prompt, or the type of its error."""
        try:
            kept = await self.calls.read_prompt(self.call(identity))
        except relay.RelayError as error:
            return type(error)
        return kept.name


@contextlib.asynccontextmanager
async def calling(address: str) -> AsyncIterator[TargetCaller]:
    """Call the target at an address."""
    caller = TargetCaller(address)
    yield caller
    await caller.calls.cleanup()
