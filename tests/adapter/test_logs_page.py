"""The page of log events lists exactly the events in the code."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'platform' / 'LOGS.md'
SOURCES = (
    *ROOT.glob('packages/geranium-relay/src/**/*.py'),
    *ROOT.glob('platform/src/geranium_platform/*.py'),
)
RECORDED = re.compile(r"\.record\(\s*'(\w+)'")
DESCRIBED = re.compile(r'^\| `(\w+)` \|', re.MULTILINE)
# One call records these in a loop.
LISTED = frozenset(('target_came', 'target_gone', 'target_leaving'))


def test_page_describes_exactly_the_recorded_events() -> None:
    recorded = set(LISTED)
    for path in SOURCES:
        recorded.update(RECORDED.findall(path.read_text()))

    assert recorded == set(DESCRIBED.findall(PAGE.read_text()))
