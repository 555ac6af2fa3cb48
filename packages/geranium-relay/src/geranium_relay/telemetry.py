"""Counters and latency histograms of a host, and their text form."""

import functools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

PREFIX = 'geraniumdrum_'


class Telemetry:
    """The instruments that a host records into.

    The metrics library is loaded with the first record, so that it does not
    delay the start of a host. ``docs/METRICS.md`` lists the names.
    """

    def __init__(self) -> None:
        self._reads_by_gauge: dict[str, Callable[[], float]] = {}

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Show what a function returns at the moment of a scrape."""
        self._reads_by_gauge[name] = read

    def record_end(self, outcome: str, service: str, took_s: float) -> None:
        """Record a request's outcome and its duration in seconds."""
        labels = {'outcome': outcome, 'service': service}
        self._instruments.requests.add(1, labels)
        self._instruments.durations.record(took_s, labels)

    def record_attempt(self, outcome: str) -> None:
        """Record how an attempt at a target ended."""
        self._instruments.attempts.add(1, {'outcome': outcome})

    def record_refusal(self, reason: str) -> None:
        """Record why a request was refused."""
        self._instruments.refusals.add(1, {'reason': reason})

    def record_store_call(self, method: str, outcome: str) -> None:
        """Record a call to the store by its HTTP method and its end."""
        labels = {'method': method, 'outcome': outcome}
        self._instruments.store_calls.add(1, labels)

    def expose(self) -> str:
        """Return all readings, a line each, as ``name{labels} value``."""
        return ''.join(f'{line}\n' for line in _lines(self._instruments.reader))

    @functools.cached_property
    def _instruments(self) -> '_Instruments':
        return _Instruments(self._reads_by_gauge)


class _Instruments:
    def __init__(self, reads_by_gauge: dict[str, Callable[[], float]]) -> None:
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader

        self.reader = InMemoryMetricReader()
        provider = MeterProvider(metric_readers=[self.reader])
        meter = provider.get_meter('geraniumdrum')
        self.requests = meter.create_counter(
            'requests',
            description='Requests by outcome and service.',
        )
        self.durations = meter.create_histogram(
            'request_duration_seconds',
            unit='s',
            description='Time from a request to the end of its answer.',
        )
        self.attempts = meter.create_counter(
            'attempts',
            description='Attempts at targets by outcome.',
        )
        self.refusals = meter.create_counter(
            'refusals',
            description='Refused requests by reason.',
        )
        self.store_calls = meter.create_counter(
            'store_calls',
            description='Calls to the store by method and outcome.',
        )
        for name, read in reads_by_gauge.items():
            meter.create_observable_gauge(
                name,
                callbacks=[functools.partial(_observe, Observation, read)],
            )


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
