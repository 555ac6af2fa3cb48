"""One attempt of a request, and how long its target may stay silent."""

import dataclasses

from geranium_policy.prompt_placement import Placement

from .catalogue import Route, RouteKind
from .run_settings import RunSettings
from .targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Where a request goes.

    Args:
        reader: Reads the prompt for ``target``; ``None`` if that reads it.
        target: Runs the request.
        placement: Why it goes there.
        started_at: When the attempt began.
    """

    reader: Target | None
    target: Target
    placement: Placement
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """Bounds on a target's silence, after which it is given up.

    ``None`` stands for no bound: the request's deadline holds alone.
    """

    first_s: float | None = None
    pause_s: float | None = None


def patience_with(
    route: Route,
    attempt: Attempt,
    settings: RunSettings,
    *,
    may_repeat: bool,
) -> Patience:
    """Return how long to wait for a target.

    Only a request that can still be had elsewhere is given up early: a
    target's silence alone ends no answer.
    """
    if not may_repeat:
        return Patience()
    if route.kind is not RouteKind.STREAM:
        return Patience(route.target_latency_s * settings.call_patience)
    expected_s = attempt.placement.first_s * settings.first_patience
    pause_s = route.target_gap_s * settings.silence_gaps
    return Patience(
        settings.stream_silence_s + expected_s,
        max(settings.stream_silence_s, pause_s),
    )
