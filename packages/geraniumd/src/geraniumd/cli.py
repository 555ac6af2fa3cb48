"""The command line of ``geraniumd``."""

import asyncio
import json
import pathlib
import signal
import sys
from typing import NoReturn

import click
from geraniumd_start import act_on_signals, hold_signals

from .daemon import Daemon
from .process import (
    LEVELS_BY_NAME,
    Secrets,
    Settings,
    SettingsError,
    configure_logs,
    load_secrets,
    load_settings,
    settings_schema,
)

EXIT_INVALID_SETTINGS = 2


@click.command(context_settings={'help_option_names': ['-h', '--help']})
@click.argument(
    'settings_file',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    required=False,
)
@click.option(
    '--check-settings',
    is_flag=True,
    help='Check the settings file and exit.',
)
@click.option(
    '--print-schema',
    is_flag=True,
    help='Print the JSON schema of the settings file and exit.',
)
@click.option(
    '--log-level',
    type=click.Choice(sorted(LEVELS_BY_NAME)),
    default='info',
    show_default=True,
    help='The lowest level that is logged.',
)
@click.version_option(package_name='geraniumd')
def main(
    settings_file: pathlib.Path | None,
    check_settings: bool,
    print_schema: bool,
    log_level: str,
) -> None:
    """Run the daemon of an entry host with the settings in SETTINGS_FILE.

    Once it is listening, the daemon prints its addresses on standard output
    as one line of JSON; logs go to standard error. SIGTERM and SIGINT shut
    it down gracefully, SIGUSR1 writes a state dump to standard error.

    Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid.
    """
    if print_schema:
        click.echo(json.dumps(settings_schema(), indent=2, sort_keys=True))
        return
    if settings_file is None:
        raise click.UsageError('SETTINGS_FILE is missing')
    settings = _load_or_exit(settings_file)
    if check_settings:
        click.echo(f'{settings_file}: fine')
        return
    secrets = _load_secrets_or_exit(settings)
    configure_logs(log_level, settings.host)
    hold_signals()
    asyncio.run(_run(settings, secrets))


def _load_or_exit(path: pathlib.Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        _exit_with(error)


def _load_secrets_or_exit(settings: Settings) -> Secrets:
    try:
        return load_secrets(settings)
    except SettingsError as error:
        _exit_with(error)


def _exit_with(error: SettingsError) -> NoReturn:
    for complaint in error.complaints:
        click.echo(complaint, err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


async def _run(settings: Settings, secrets: Secrets) -> None:
    daemon = Daemon(settings, secrets)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    loop.add_signal_handler(signal.SIGUSR1, daemon.dump)
    act_on_signals()
    try:
        await daemon.run()
    finally:
        # The loop and the interpreter give the handlers up as they end.
        hold_signals()
