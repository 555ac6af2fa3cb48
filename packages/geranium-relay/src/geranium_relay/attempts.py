"""Attempts of a request and the timeouts for their responses."""

import dataclasses

from geranium_policy.prompt_placement import Placement

from .catalogue import Route, RouteKind
from .run_settings import RunSettings
from .targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on a target.

    Args:
        reader: Prefills the prompt for ``target``; ``None`` if ``target`` does
            that itself.
        target: Runs the request.
        placement: The decision that selected the target.
        started_at: When the attempt began.
    """

    reader: Target | None
    target: Target
    placement: Placement
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseTimeouts:
    """How long a target may be silent before the attempt fails.

    ``None`` means no timeout other than the request's deadline.
    """

    first_s: float | None = None
    pause_s: float | None = None


def response_timeouts(
    route: Route,
    attempt: Attempt,
    settings: RunSettings,
    *,
    may_repeat: bool,
) -> ResponseTimeouts:
    """Return the timeouts for an attempt.

    Only a request that can be sent to another target gets timeouts. All
    others wait for the target until the deadline.
    """
    if not may_repeat:
        return ResponseTimeouts()
    if route.kind is not RouteKind.STREAM:
        return ResponseTimeouts(
            route.target_latency_s * settings.call_timeout_factor
        )
    expected_s = attempt.placement.first_s * settings.first_token_timeout_factor
    pause_s = route.target_gap_s * settings.max_silent_gaps
    return ResponseTimeouts(
        settings.stream_silence_s + expected_s,
        max(settings.stream_silence_s, pause_s),
    )
