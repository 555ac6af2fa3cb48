"""Metrics of a host and their text exposition."""

import functools
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeAlias

PREFIX = 'geraniumdrum_'
MAX_PENDING = 20_000  # records, about 4 MB

_COUNTERS = (
    ('requests', 'Requests by outcome and service.'),
    ('attempts', 'Attempts at targets by outcome.'),
    ('refusals', 'Refused requests by reason.'),
    ('repeats', 'Calls beyond the first of a request by kind and decision.'),
    ('forwards', 'Requests passed on to other hosts by outcome.'),
    ('quota_tokens', 'Tokens or requests of quotas by team and kind.'),
    ('client_closes', 'Connections of clients closed by cause.'),
    ('store_calls', 'Calls to the store by method and outcome.'),
)
_Recorder: TypeAlias = Callable[[float, dict[str, str]], None]
_Record: TypeAlias = tuple[str, float, dict[str, str]]


class Telemetry:
    """The metric instruments of a host.

    Importing the metrics library would block a newly started host from
    serving. The library is imported on the first scrape. Until then, up to
    ``MAX_PENDING`` records are buffered.
    ``docs/platform/METRICS.md`` lists the names.
    """

    def __init__(self) -> None:
        self._reads_by_gauge: dict[str, Callable[[], float]] = {}
        self._instruments: _Instruments | None = None
        self._pending: list[_Record] = []

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read on each scrape."""
        self._reads_by_gauge[name] = read

    def record_end(self, outcome: str, service: str, took_s: float) -> None:
        """Record a request's outcome and its duration in seconds."""
        labels = {'outcome': outcome, 'service': service}
        self._record('requests', 1, labels)
        self._record('durations', took_s, labels)

    def record_attempt(self, outcome: str) -> None:
        """Record the outcome of an attempt at a target."""
        self._record('attempts', 1, {'outcome': outcome})

    def record_refusal(self, reason: str) -> None:
        """Record why a request was refused."""
        self._record('refusals', 1, {'reason': reason})

    def record_repeat(self, kind: str, *, taken: bool) -> None:
        """Record a call beyond the first of a request, or its denial."""
        decision = 'taken' if taken else 'denied'
        self._record('repeats', 1, {'kind': kind, 'decision': decision})

    def record_forward(self, outcome: str) -> None:
        """Record what came of passing a request on to another host."""
        self._record('forwards', 1, {'outcome': outcome})

    def record_quota(self, team: str, kind: str, amount: float) -> None:
        """Record what was asked, granted, refused or lapsed for a team."""
        self._record('quota_tokens', amount, {'team': team, 'kind': kind})

    def record_client_close(self, listener: str, cause: str) -> None:
        """Record that a client's connection was closed, and why."""
        labels = {'listener': listener, 'cause': cause}
        self._record('client_closes', 1, labels)

    def record_store_call(self, method: str, outcome: str) -> None:
        """Record a call to the store by its HTTP method and outcome."""
        labels = {'method': method, 'outcome': outcome}
        self._record('store_calls', 1, labels)

    def expose(self) -> str:
        """Return all metrics, one ``name{labels} value`` per line."""
        return ''.join(f'{line}\n' for line in _lines(self._load().reader))

    def _record(
        self,
        instrument: str,
        amount: float,
        labels: dict[str, str],
    ) -> None:
        if self._instruments is not None:
            self._instruments.record(instrument, amount, labels)
            return
        self._pending.append((instrument, amount, labels))
        if len(self._pending) >= MAX_PENDING:
            self._load()

    def _load(self) -> '_Instruments':
        instruments = self._instruments
        if instruments is None:
            instruments = _Instruments(self._reads_by_gauge)
            self._instruments = instruments
            for record in self._pending:
                instruments.record(*record)
            self._pending.clear()
        return instruments


class _Instruments:
    def __init__(self, reads_by_gauge: dict[str, Callable[[], float]]) -> None:
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader

        self.reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self.reader])
        meter = provider.get_meter('geraniumdrum')
        durations = meter.create_histogram(
            'request_duration_seconds',
            unit='s',
            description='Time from a request to the end of its answer.',
        )
        self._recorders: dict[str, _Recorder] = {
            name: meter.create_counter(name, description=description).add
            for name, description in _COUNTERS
        }
        self._recorders['durations'] = durations.record
        for name, read in reads_by_gauge.items():
            meter.create_observable_gauge(
                name,
                callbacks=[functools.partial(_observe, Observation, read)],
            )

    def record(
        self,
        instrument: str,
        amount: float,
        labels: dict[str, str],
    ) -> None:
        """Add an amount to an instrument."""
        self._recorders[instrument](amount, labels)


def _observe(
    make: Callable[[float], Any],
    read: Callable[[], float],
    _options: object,
) -> Iterable[Any]:
    return [make(read())]


def _lines(reader: Any) -> Iterator[str]:
    found = reader.get_metrics_data()
    for resource in found.resource_metrics if found else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                for point in metric.data.data_points:
                    yield from _point_lines(PREFIX + metric.name, point)


def _point_lines(name: str, point: Any) -> Iterator[str]:
    labels = [f'{key}="{text}"' for key, text in point.attributes.items()]
    if not hasattr(point, 'bucket_counts'):
        yield _line(name, labels, point.value)
        return
    total = 0
    bounds = (*point.explicit_bounds, '+Inf')
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        yield _line(f'{name}_bucket', [*labels, f'le="{bound}"'], total)
    yield _line(f'{name}_sum', labels, point.sum)
    yield _line(f'{name}_count', labels, point.count)


def _line(name: str, labels: list[str], reading: float) -> str:
    joined = ','.join(labels)
    return f'{name}{{{joined}}} {reading}'
