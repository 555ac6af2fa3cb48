"""OpenTelemetry metrics of a daemon."""

import json
from typing import Any

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource


class Telemetry:
    """The metric instruments of the daemon.

    Names and units follow the OpenTelemetry conventions and are listed in
    ``docs/METRICS.md``.
    """

    def __init__(self, host: str, zone: str) -> None:
        self._reader = InMemoryMetricReader()
        resource = Resource.create(
            {
                'service.name': 'geraniumd',
                'host.name': host,
                'cloud.availability_zone': zone,
            },
        )
        provider = MeterProvider(
            metric_readers=[self._reader],
            resource=resource,
        )
        meter = provider.get_meter('geraniumd')
        self.requests = meter.create_counter(
            'geraniumdrum.requests',
            unit='{request}',
            description='Requests by service and outcome.',
        )
        self.request_duration = meter.create_histogram(
            'geraniumdrum.request.duration',
            unit='s',
            description='Time from a request to the end of its answer.',
        )
        self.first_token_duration = meter.create_histogram(
            'geraniumdrum.request.time_to_first_token',
            unit='s',
            description='Time from a request to the first token passed on.',
        )
        self.tokens = meter.create_counter(
            'geraniumdrum.tokens',
            unit='{token}',
            description='Tokens by service and kind (prompt or generated).',
        )
        self.attempts = meter.create_counter(
            'geraniumdrum.target.attempts',
            unit='{attempt}',
            description='Calls sent to targets by target and result.',
        )
        self.dropped_events = meter.create_counter(
            'geraniumdrum.stream.dropped_events',
            unit='{event}',
            description='Events of another request or offset that were left.',
        )
        self.platform_errors = meter.create_counter(
            'geraniumdrum.platform.errors',
            unit='{error}',
            description='Failed calls to the platform by kind.',
        )
        self.peer_bytes = meter.create_counter(
            'geraniumdrum.peer.io',
            unit='By',
            description='Bytes exchanged with peers by direction.',
        )

    def collect(self) -> Any:
        """Return the current values of all metrics in JSON form."""
        metrics = self._reader.get_metrics_data()
        if metrics is None:
            return {}
        return json.loads(metrics.to_json())
