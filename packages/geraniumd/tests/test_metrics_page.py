"""Checks that ``docs/METRICS.md`` matches the instruments."""

from geraniumd.process import Telemetry
from opentelemetry.metrics import Counter, Histogram

from .page_tables import read_rows


def record_each(telemetry):
    for instrument in telemetry.__dict__.values():
        match instrument:
            case Counter():
                instrument.add(1)
            case Histogram():
                instrument.record(1)


def read_metrics(readings):
    for resource in readings['resource_metrics']:
        for scope in resource['scope_metrics']:
            yield from scope['metrics']


def test_page_lists_exactly_the_instruments():
    telemetry = Telemetry('host-1', 'zone-a')
    record_each(telemetry)
    recorded = {
        (
            metric['name'],
            'counter' if 'is_monotonic' in metric['data'] else 'histogram',
            metric['unit'],
        )
        for metric in read_metrics(telemetry.collect())
    }
    listed = {
        (name.strip('`'), kind, unit.strip('`'))
        for name, kind, unit, _, _ in read_rows('METRICS.md')
    }
    assert listed == recorded
