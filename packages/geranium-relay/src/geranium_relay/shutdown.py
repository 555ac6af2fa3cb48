"""When a stopping host ends, and what it can complete until then."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable, Iterator

from geranium_policy.completion_times import CompletionEstimator, RequestKind
from geranium_policy.stop_admission import (
    Completes,
    StopDecision,
    judge_completion,
)

from .messages import Job


class Shutdown:
    """The end of this process, which its requests have to respect.

    Args:
        completions: Estimates how long requests take.
        clock: Returns the current time in seconds.

    ``deadline`` is when all requests are ended, ``inf`` while the host serves;
    ``has_ended`` says that they have been.
    """

    def __init__(
        self, completions: CompletionEstimator, clock: Callable[[], float]
    ) -> None:
        self.deadline = math.inf
        self.has_ended = False
        self._completions = completions
        self._clock = clock
        self._timeouts: set[asyncio.Timeout] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the host is stopping."""
        return math.isfinite(self.deadline)

    def begin(self, deadline: float) -> None:
        """Accept only what is complete at the deadline."""
        self.deadline = deadline

    def end_requests(self) -> None:
        """End all open requests now, and begin no others."""
        self.deadline = min(self.deadline, self._clock())
        self.has_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    @contextlib.asynccontextmanager
    async def limit(self, limit_s: float | None = None) -> AsyncIterator[None]:
        """Limit a block by a time and by the end of all requests.

        Raises:
            TimeoutError: If one of them is reached.
        """
        async with asyncio.timeout(limit_s) as timeout:
            self._timeouts.add(timeout)
            if self.has_ended:
                timeout.reschedule(asyncio.get_running_loop().time())
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    @contextlib.contextmanager
    def running(self, job: Job) -> Iterator[None]:
        """Count a job as one that runs until the block ends."""
        with self._completions.running(_kind_of(job), job.arrival.arrived_at):
            yield

    def observe(self, job: Job) -> None:
        """Record that a job has ended only now."""
        now = self._clock()
        took_s = now - job.arrival.arrived_at
        self._completions.observe(_kind_of(job), took_s, now)

    def may_complete(self, job: Job) -> bool:
        """Return whether a job that begins now may end by its deadline.

        It may not if all like it have taken longer than is left.
        """
        now = self._clock()
        shortest_s = self._completions.shortest_s(_kind_of(job), now)
        return now + shortest_s <= job.deadline

    def judge(
        self, job: Job, started_at: float, margin_s: float
    ) -> StopDecision:
        """Decide whether a job ends before this host does.

        Args:
            job: The job.
            started_at: When its attempt begins.
            margin_s: The time by which it may exceed its deadline.
        """
        if not self.has_begun:
            return Completes()
        return judge_completion(
            started_at,
            self._completions.estimate_s(_kind_of(job), self._clock()),
            job.deadline + margin_s,
            self.deadline,
        )


def _kind_of(job: Job) -> RequestKind:
    prompt = job.arrival.prompt
    return RequestKind(
        job.route.name,
        job.arrival.path.partition('?')[0],
        0 if prompt is None else prompt.max_generated,
    )
