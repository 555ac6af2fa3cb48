"""Estimation of how long a request takes until its response is complete.

A process that stops may begin only what it can finish. Most requests are far
shorter than their deadline, so that the deadline alone would turn most of them
away. What recent requests of about the same size to the same path, or on the
same route, have taken says more, as long as there are enough of them.
"""

import collections
import contextlib
import dataclasses
import itertools
import math
import statistics
from collections.abc import Iterator, Sequence

MIN_TOOK_S = 0.001  # shorter durations are measured inexactly
MAX_EXPONENT = 20  # e to this many seconds is years


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionSettings:
    """Parameters of the estimate.

    Args:
        of_route: Number of recent requests kept for each route.
        of_path: Number of recent requests kept for each path.
        min_of_route: Minimum number of comparable requests to estimate from
            those of a route, whose paths may differ.
        min_of_path: The same for those of a path.
        size_ratio: Requests are comparable if they are as large as this one,
            or larger by at most this factor.
        deviations: Distance of the estimate from the mean of the samples in
            standard deviations, both of their logarithms: lengths of
            generations are spread widely, and one in thousands may be longer.
        few_samples: Number of samples with which that distance is doubled:
            few samples that differ say little of the next one.
        growth: The estimate exceeds that by this share of it, since a target
            slows down as it gets more requests.
        margin_s: The estimate exceeds that by the delays of scheduling and of
            the last write.
        lifetime_s: Time after which a sample no longer counts.
        max_paths: Maximum number of paths that are kept.
    """

    of_route: int = 256
    of_path: int = 32
    min_of_route: int = 16
    min_of_path: int = 4
    size_ratio: float = 2
    deviations: float = 3.7
    few_samples: float = 16
    growth: float = 0.1
    margin_s: float = 0.1
    lifetime_s: float = 60
    max_paths: int = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """What a request has in common with those that take about as long.

    Args:
        route: Name of its route.
        path: Its path, without a query.
        size: What it asks for at most, in a unit of its route, such as
            tokens; 0 if unknown.
    """

    route: str
    path: str
    size: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    size: float
    took_s: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    size: float
    started_at: float


class _Samples:
    """Requests that have ended lately, and those that still run."""

    def __init__(self, settings: CompletionSettings, count: int) -> None:
        self._settings = settings
        self._recent: collections.deque[_Sample] = collections.deque(
            maxlen=count
        )
        self.running_by_number: dict[int, _Running] = {}

    def add(self, sample: _Sample) -> None:
        self._recent.append(sample)

    def estimate_s(self, size: float, min_samples: int, now: float) -> float:
        """Return the estimate, ``inf`` if there are too few samples.

        A request that has run for longer than all others counts with its age.
        """
        settings = self._settings
        sizes = _Sizes(size, size * settings.size_ratio)
        samples = self._durations_s(sizes, now)
        if len(samples) < min_samples:
            return math.inf
        ages = [
            now - running.started_at
            for running in self.running_by_number.values()
            if sizes.include(running.size)
        ]
        longest_s = max(*samples, *ages, self._upper_limit_s(samples))
        return longest_s * (1 + settings.growth) + settings.margin_s

    def shortest_s(self, size: float, min_samples: int, now: float) -> float:
        """Return the shortest duration, 0 if there are too few samples.

        Smaller requests are not comparable, but larger ones are.
        """
        sizes = _Sizes(size, size * self._settings.size_ratio)
        samples = self._durations_s(sizes, now)
        return 0 if len(samples) < min_samples else min(samples)

    def _durations_s(self, sizes: '_Sizes', now: float) -> list[float]:
        oldest = now - self._settings.lifetime_s
        return [
            sample.took_s
            for sample in self._recent
            if sample.ended_at >= oldest and sizes.include(sample.size)
        ]

    def _upper_limit_s(self, samples: Sequence[float]) -> float:
        """Return the time that nearly no further request exceeds.

        Durations are taken to be distributed log-normally.
        """
        settings = self._settings
        logarithms = [math.log(max(took_s, MIN_TOOK_S)) for took_s in samples]
        scale = settings.deviations * (1 + settings.few_samples / len(samples))
        exponent = (
            statistics.fmean(logarithms) + statistics.pstdev(logarithms) * scale
        )
        return math.exp(min(exponent, MAX_EXPONENT))


@dataclasses.dataclass(frozen=True, slots=True)
class _Sizes:
    smallest: float
    largest: float

    def include(self, size: float) -> bool:
        return self.smallest <= size <= self.largest


class CompletionEstimator:
    """Estimates the longest time that requests of a kind take.

    Args:
        settings: Parameters of the estimate.
    """

    def __init__(self, settings: CompletionSettings) -> None:
        self._settings = settings
        self._numbers = itertools.count()
        self._by_route: dict[str, _Samples] = {}
        self._by_path: collections.OrderedDict[tuple[str, str], _Samples] = (
            collections.OrderedDict()
        )

    @contextlib.contextmanager
    def running(self, kind: RequestKind, started_at: float) -> Iterator[None]:
        """Count a request as one that runs until the block ends."""
        groups = self._groups(kind)
        number = next(self._numbers)
        running = _Running(kind.size, started_at)
        for group in groups:
            group.running_by_number[number] = running
        try:
            yield
        finally:
            for ended in groups:
                ended.running_by_number.pop(number, None)

    def observe(self, kind: RequestKind, took_s: float, now: float) -> None:
        """Record a request whose response was complete after ``took_s``."""
        sample = _Sample(kind.size, took_s, now)
        for group in self._groups(kind):
            group.add(sample)

    def estimate_s(self, kind: RequestKind, now: float) -> float:
        """Return the time that a request takes at most, in seconds.

        Returns ``inf`` if too few requests of its kind are known.
        """
        for samples, min_samples in self._known(kind):
            estimate_s = samples.estimate_s(kind.size, min_samples, now)
            if math.isfinite(estimate_s):
                return estimate_s
        return math.inf

    def shortest_s(self, kind: RequestKind, now: float) -> float:
        """Return the time that a request takes at least, in seconds.

        Returns 0 if too few requests of its kind are known.
        """
        for samples, min_samples in self._known(kind):
            shortest_s = samples.shortest_s(kind.size, min_samples, now)
            if shortest_s:
                return shortest_s
        return 0

    def _known(self, kind: RequestKind) -> Iterator[tuple[_Samples, int]]:
        """Yield the samples of a request, and how many are enough."""
        settings = self._settings
        of_path = self._by_path.get((kind.route, kind.path))
        if of_path is not None:
            yield of_path, settings.min_of_path
        of_route = self._by_route.get(kind.route)
        if of_route is not None:
            yield of_route, settings.min_of_route

    def _groups(self, kind: RequestKind) -> tuple[_Samples, _Samples]:
        """Return the samples of the route and of the path of a request."""
        settings = self._settings
        of_route = self._by_route.get(kind.route)
        if of_route is None:
            of_route = _Samples(settings, settings.of_route)
            self._by_route[kind.route] = of_route
        path = kind.route, kind.path
        of_path = self._by_path.get(path)
        if of_path is None:
            of_path = _Samples(settings, settings.of_path)
            self._by_path[path] = of_path
        self._by_path.move_to_end(path)
        if len(self._by_path) > settings.max_paths:
            self._by_path.popitem(last=False)
        return of_route, of_path
