"""The page of metrics lists exactly the metrics a host exposes."""

import pathlib
import re

from .conftest import HOST_IP
from .waits import wait_for

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'platform' / 'METRICS.md'
DESCRIBED = re.compile(r'^\| `(\w+?)(?:_bucket)?`', re.MULTILINE)
SHOWN = re.compile(r'^(\w+?)(?:_bucket|_sum|_count)?\{', re.MULTILINE)

CAUSED_BY_OTHERS = frozenset(
    (
        'geraniumdrum_client_closes',
        'geraniumdrum_forwards',
        'geraniumdrum_quota_tokens',
        'geraniumdrum_refusals',
        'geraniumdrum_repeats',
    )
)


async def test_page_describes_all_metrics_of_a_host(world) -> None:
    for path, headers in (
        ('/safe/x', world.headers()),
        ('/safe/x', world.headers(Authorization='Bearer wrong')),
    ):
        answer = await world.caller.post(world.url(path), headers=headers)
        await answer.read()
    port = world.settings.listen.metrics_port
    exposition = f'http://{HOST_IP}:{port}/metrics'
    described = set(DESCRIBED.findall(PAGE.read_text()))
    shown = set()

    async def is_complete() -> bool:
        async with world.caller.get(exposition) as response:
            shown.update(SHOWN.findall(await response.text()))
        # This test causes no refusals, repeats or closes, there is one host,
        # and no team has a quota.
        return shown | CAUSED_BY_OTHERS >= described

    await wait_for(is_complete)
    assert shown <= described
