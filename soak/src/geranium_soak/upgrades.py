"""Replaces the hosts of a run by another build, one by one, and back.

    python -m geranium_soak.upgrades CHECKOUT --hosts 6 --seed 1

All hosts start with the product code of an older checkout. Under load, each is
stopped and started with this checkout's, then each with the older one again.
Meanwhile hosts are cut from all targets, and targets fail, so that requests
are passed on between hosts of both builds.
"""

import asyncio
import itertools
import logging
import pathlib
import random
import sys
from collections.abc import Iterator

import click
from geranium_standins.host_links import CutMode

from . import faults
from .checks import Violation, find_violations
from .environment import Environment, EnvironmentSettings
from .host_process import HostProcess
from .injector import Injector
from .observations import Span, now, was_served
from .plans import Step
from .readiness import running, wait_until_ready, wait_until_replaced
from .target_links import CutHosts
from .traffic import Traffic

MIXED_HOST = pathlib.Path(__file__).with_name('mixed_host.py')
SKEWS_S = (0, 0.6, -0.4)
REPLACEMENT_GAP_S = 2.0  # from one ready host to the next stop
FAULTS_INTERVAL_S = 3.0
CUT_S = 6.0
TARGET_FAULT_S = 2.0
FAULTY_SHARE = 0.5
SETTLE_S = 12.0
CALM_S = 8.0
CALLERS = 10


@click.command()
@click.argument('checkout', type=click.Path(path_type=pathlib.Path))
@click.option('--seed', default=1, help='Seed of the run.')
@click.option('--hosts', default=6, help='Host processes.')
@click.option('--kills', is_flag=True, help='Kill the hosts, not stop them.')
@click.option(
    '--folder', required=True, type=click.Path(path_type=pathlib.Path)
)
def main(
    checkout: pathlib.Path,
    seed: int,
    hosts: int,
    *,
    kills: bool,
    folder: pathlib.Path,
) -> None:
    """Run once; exit with 1 if a guarantee was violated."""
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    folder.mkdir(parents=True, exist_ok=True)
    settings = EnvironmentSettings(
        hosts,
        3,
        6,
        folder,
        ('-P', str(MIXED_HOST), str(checkout.absolute())),
        SKEWS_S,
    )
    violations = asyncio.run(run_upgrade(settings, seed, kills=kills))
    for violation in violations:
        where = f'{violation.promise}: {violation.subject}'
        click.echo(f'  {where}: {violation.detail}')
    sys.exit(bool(violations))


async def run_upgrade(
    settings: EnvironmentSettings, seed: int, *, kills: bool
) -> list[Violation]:
    """Replace all hosts twice under load and return what was violated."""
    source = random.Random(seed)
    environment = Environment(settings, source)
    async with environment.open():
        await wait_until_ready(environment.hosts)
        callers = Traffic(environment, seed).run(CALLERS)
        async with running(callers):
            async with running(_inject_faults(environment, source)):
                await _replace_hosts(environment.hosts, kills=kills)
                await _replace_hosts(environment.hosts, kills=kills)
            await asyncio.sleep(SETTLE_S + CUT_S)
            since = now()
            await asyncio.sleep(CALM_S)
            environment.ledger.calm = Span(since, now())
        await asyncio.gather(*(each.close() for each in environment.hosts))
    ledger = environment.ledger
    served = sum(map(was_served, ledger.outcome_by_id.values()))
    click.echo(f'seed {seed}: {served} of {len(ledger.sent_by_id)} served')
    violations = find_violations(ledger, settings.bounds)
    return [*violations, *_unexpected_exits(environment.hosts)]


def _unexpected_exits(hosts: list[HostProcess]) -> Iterator[Violation]:
    for host in hosts:
        for code in host.unexpected_exits:
            yield Violation('stays up', host.name, f'ended with {code}')


async def _replace_hosts(hosts: list[HostProcess], *, kills: bool) -> None:
    for host in hosts:
        incarnation = host.incarnation
        if kills:
            host.kill()
        else:
            host.terminate()
        await wait_until_replaced(host, incarnation)
        await asyncio.sleep(REPLACEMENT_GAP_S)


async def _inject_faults(
    environment: Environment, source: random.Random
) -> None:
    """Inject faults until cancelled; those that have begun end by themselves."""
    injector = Injector(environment, source)
    running = set[asyncio.Task[None]]()
    for fault in _draw_faults(source):
        task = asyncio.create_task(injector.run((Step(0, fault),)))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(FAULTS_INTERVAL_S)


def _draw_faults(source: random.Random) -> Iterator[faults.Fault]:
    for mode in itertools.cycle(CutMode):
        yield CutHosts(mode, source.random() < FAULTY_SHARE, CUT_S)
        yield faults.HarmTarget(
            source.choice(tuple(faults.TargetFault)),
            FAULTY_SHARE,
            TARGET_FAULT_S,
        )
        yield faults.CrashTarget(TARGET_FAULT_S, reused=False)


if __name__ == '__main__':
    main()
