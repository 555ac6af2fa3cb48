"""The console script ``geranium-soak``."""

import asyncio
import logging
import pathlib
import shlex
import signal
import sys
import tempfile
from typing import Any

import click

from .environment import EnvironmentSettings
from .plans import draw_plan
from .runs import Report, RunSettings, run_soak

SKEWED_HOST = pathlib.Path(__file__).with_name('skewed_host.py')
HOST_PROGRAM = ('-P', str(SKEWED_HOST))
SKEWS_S = (0, 0.6, -0.4)  # hosts' clocks are only roughly synchronized
FAULTS_S = 30
SETTLE_S = 12  # documented time to recovery
CALM_S = 8  # two usage windows


class SoakCommand(click.Command):
    """The command and its options."""

    def __init__(self) -> None:
        super().__init__(
            'geranium-soak',
            callback=run_seeds,
            help='Run hosts under faults and check their guarantees.',
            params=[
                _option('--seed', 1, 'Seed of the first run.'),
                _option('--runs', 1, 'Number of runs, with consecutive seeds.'),
                _option('--seconds', FAULTS_S, 'Period in which faults begin.'),
                _option('--calm', CALM_S, 'Seconds without faults at the end.'),
                _option('--hosts', 4, 'Host processes.'),
                _option('--calls', 3, 'Application targets.'),
                _option('--engines', 6, 'Engines.'),
                _option('--callers', 10, 'Concurrent callers.'),
                _option(
                    '--program',
                    shlex.join(HOST_PROGRAM),
                    'Program that runs as a host.',
                ),
                _option('--folder', '', 'Folder for settings and logs.'),
                click.Option(
                    ['--plan-only'],
                    is_flag=True,
                    help='Only print the faults.',
                ),
            ],
        )


def _option(name: str, default: object, meaning: str) -> click.Option:
    return click.Option(
        [name],
        default=default,
        show_default=True,
        help=meaning,
    )


def run_seeds(
    seed: int,
    runs: int,
    *,
    plan_only: bool,
    **options: Any,
) -> None:
    """Execute the runs; exit with 1 if one of them violated a guarantee."""
    # Injected faults reset connections, which aiohttp logs as server errors.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    failed = 0
    for number in range(seed, seed + runs):
        settings = _run_settings(number, **options)
        if plan_only:
            _print_plan(settings)
            continue
        report = asyncio.run(_run_seed(settings))
        failed += bool(report.violations)
        _print_report(report, settings.environment.folder)
    sys.exit(bool(failed))


async def _run_seed(settings: RunSettings) -> Report:
    """Execute a run; SIGTERM ends its processes before this one."""
    loop = asyncio.get_running_loop()
    run = asyncio.create_task(run_soak(settings))
    loop.add_signal_handler(signal.SIGTERM, run.cancel)
    return await run


def _run_settings(
    seed: int,
    *,
    seconds: int,
    calm: int,
    callers: int,
    folder: str,
    **environment: Any,
) -> RunSettings:
    directory = pathlib.Path(folder or tempfile.mkdtemp(prefix='soak-'))
    directory.mkdir(parents=True, exist_ok=True)
    return RunSettings(
        seed,
        seconds,
        SETTLE_S,
        calm,
        callers,
        _environment_settings(directory, **environment),
    )


def _environment_settings(
    folder: pathlib.Path,
    *,
    hosts: int,
    calls: int,
    engines: int,
    program: str,
) -> EnvironmentSettings:
    return EnvironmentSettings(
        hosts,
        calls,
        engines,
        folder,
        shlex.split(program),
        SKEWS_S,
    )


def _print_plan(settings: RunSettings) -> None:
    hosts = settings.environment.hosts
    for step in draw_plan(settings.seed, settings.faults_s, hosts):
        at_s = round(step.at_s, 2)
        click.echo(f'{at_s} s: {step.fault}')


def _print_report(report: Report, folder: pathlib.Path) -> None:
    broken = len(report.violations)
    counts = f'{report.served} of {report.requests} requests served'
    found = f'{report.faults} faults, {broken} promises broken'
    click.echo(f'seed {report.seed}: {counts}, {found}')
    for violation in report.violations:
        where = f'{violation.promise}: {violation.subject}'
        click.echo(f'  {where}: {violation.detail}')
    if broken:
        click.echo(f'  settings and logs: {folder}')


main = SoakCommand()

if __name__ == '__main__':
    main()
