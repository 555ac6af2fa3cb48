"""A stopping process begins only what it completes."""

import dataclasses
import itertools
import math

import pytest
from geranium_policy.completion_times import (
    CompletionEstimator,
    CompletionSettings,
    RequestKind,
)
from geranium_policy.stop_admission import (
    Completes,
    CutShort,
    judge_completion,
)

GRACE_S = 7.6  # from SIGTERM to the end of all requests
TIMEOUT_S = 5.0
INTERVAL_S = 0.5
WAVES = 14
LENGTHS_S = (0.1, 1, 2.2, 4.4)
KINDS = ('safe', 'unsafe', 'stream')


def test_everything_may_begin_while_the_process_runs_on() -> None:
    assert judge_completion(0, math.inf, math.inf, math.inf) == Completes()


@pytest.mark.parametrize(
    ('estimate_s', 'ends_by'), [(math.inf, 4.0), (3.0, 9.0), (5.0, 5.0)]
)
def test_request_that_ends_in_time_may_begin(
    estimate_s: float, ends_by: float
) -> None:
    assert judge_completion(1, estimate_s, ends_by, 5) == Completes()


@pytest.mark.parametrize('estimate_s', [math.inf, 4.5])
def test_request_that_may_outlive_the_process_does_not(
    estimate_s: float,
) -> None:
    decision = judge_completion(1, estimate_s, 7, 5)

    assert decision == CutShort(min(estimate_s, 6), 4)


@dataclasses.dataclass(slots=True)
class Counts:
    complete: int = 0
    cut: int = 0
    refused: int = 0


class Replay:
    """A drain whose callers go on for seven seconds."""

    def __init__(self) -> None:
        self.counts = Counts()
        self._estimator = CompletionEstimator(CompletionSettings())
        self._running: list[tuple[float, float, RequestKind]] = []

    def run(self, paths: dict[float, str]) -> Counts:
        """Send requests to a path for each length, also before the stop."""
        for wave in range(-WAVES, WAVES):
            now = wave * INTERVAL_S
            self._end_until(now)
            for route, (length_s, path) in itertools.product(
                KINDS, paths.items()
            ):
                self._send(RequestKind(route, path), length_s, now)
        return self.counts

    def _end_until(self, now: float) -> None:
        for ended_at, length_s, kind in self._running:
            if ended_at <= now:
                self._estimator.observe(kind, length_s, ended_at)
        self._running = [sent for sent in self._running if sent[0] > now]

    def _send(self, kind: RequestKind, length_s: float, now: float) -> None:
        decision = judge_completion(
            now,
            self._estimator.estimate_s(kind, now),
            now + TIMEOUT_S,
            GRACE_S if now >= 0 else math.inf,
        )
        if isinstance(decision, CutShort):
            self.counts.refused += 1
            return
        self._running.append((now + length_s, length_s, kind))
        if now >= 0:
            self.counts.complete += now + length_s <= GRACE_S
            self.counts.cut += now + length_s > GRACE_S


def test_drain_with_requests_of_all_lengths() -> None:
    """Of 168 requests, 138 end in time; the paths tell their lengths."""
    counts = Replay().run({length_s: f'/{length_s}' for length_s in LENGTHS_S})

    assert counts.cut == 0
    assert counts.complete >= 130
    assert counts.complete + counts.refused == 168


def test_drain_with_requests_that_are_not_told_apart() -> None:
    """What can't be told from long requests is refused as they are."""
    counts = Replay().run(dict.fromkeys(LENGTHS_S, '/x'))

    assert counts.cut == 0
    assert counts.refused > 0
