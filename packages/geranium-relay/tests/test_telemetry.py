"""Records are buffered, and the metrics library is loaded on first scrape."""

import subprocess
import sys

from geranium_relay import Telemetry

FIRST_RECORDS = """
import sys
from geranium_relay import Telemetry
telemetry = Telemetry()
telemetry.record_store_call('GET', '200')
telemetry.record_end('Delivered', 'service', 0.1)
sys.exit('opentelemetry' in sys.modules)
"""


def test_records_at_startup_do_not_load_the_library() -> None:
    """Loading it would delay callers while hosts restart after a power loss."""
    ran = subprocess.run((sys.executable, '-c', FIRST_RECORDS), check=False)

    assert ran.returncode == 0


def test_records_before_the_first_scrape_are_shown() -> None:
    telemetry = Telemetry()
    telemetry.record_attempt('Begun')
    telemetry.watch('open_requests', lambda: 7)

    first = telemetry.expose()
    telemetry.record_attempt('Begun')
    second = telemetry.expose()

    assert 'geraniumdrum_attempts{outcome="Begun"} 1' in first
    assert 'geraniumdrum_open_requests{} 7' in first
    assert 'geraniumdrum_attempts{outcome="Begun"} 2' in second
