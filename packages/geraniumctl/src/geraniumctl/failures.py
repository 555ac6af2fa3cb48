"""Prints errors and returns their exit codes."""

import shlex

import click
from geranium_statements import StatementError, render_error

from .exceptions import (
    ClientError,
    DocumentFileError,
    RefusedError,
    SettingsError,
    UnreachableError,
)
from .execution import UnconfirmedError
from .exit_codes import ExitCode


def report_statement_error(error: StatementError, text: str) -> ExitCode:
    """Print a statement error with its position in the text."""
    click.echo(render_error(error, text), err=True)
    return ExitCode.USAGE


def report_failure(error: ClientError) -> ExitCode:
    """Print an error and return its exit code."""
    match error:
        case UnconfirmedError():
            _report_unconfirmed(error)
            return ExitCode.UNREACHABLE
        case UnreachableError():
            _report_unreachable(error)
            return ExitCode.UNREACHABLE
        case RefusedError():
            click.echo(str(error), err=True)
            return ExitCode.REFUSED
        case DocumentFileError() | SettingsError():
            click.echo(str(error), err=True)
            return ExitCode.USAGE
        case _:
            click.echo(f'error: {error}', err=True)
            return ExitCode.REFUSED


def _report_unreachable(error: UnreachableError) -> None:
    click.echo('no host answered:', err=True)
    for attempt in error.attempts:
        click.echo(f'  {attempt.address}: {attempt.reason}', err=True)


def _report_unconfirmed(error: UnconfirmedError) -> None:
    _report_unreachable(error)
    execution = error.execution
    click.echo(
        'The change may have taken effect. To retry it safely, run:\n'
        f'  geraniumctl run --operation-id {execution.operation_id}'
        f' {shlex.quote(execution.text)}',
        err=True,
    )
    if execution.new_key is not None:
        key = execution.new_key
        click.echo(
            f'If it took effect, the secret of key {key.key_id} is'
            f' {key.secret}',
            err=True,
        )
