"""The console script ``geraniumctl``."""

import asyncio
import contextlib
import dataclasses
import pathlib
import sys
from collections.abc import Iterator
from typing import Any, TextIO

import click
from click.shell_completion import get_completion_class

from .documents import read_document
from .exceptions import ClientError
from .exit_codes import EXIT_CODES_HELP
from .explanations import Explainer
from .failures import report_failure
from .log_files import describe_record, find_request, read_records
from .options import (
    FILE_TYPE,
    Invocation,
    connection_options,
    output_option,
    script_options,
)
from .prompt import run_prompt
from .suggestions import complete_argument
from .tasks import LoadConfiguration, ReadState, RunScript, Task, perform


@click.group(
    epilog=EXIT_CODES_HELP,
    context_settings={'help_option_names': ['-h', '--help']},
)
@connection_options
@click.version_option(package_name='geraniumctl')
@click.pass_context
def main(context: click.Context, /, **options: Any) -> None:
    """Query and control the hosts of a geraniumdrum system."""
    context.obj = Invocation.from_options(**options)


@main.command()
@click.argument('statements', nargs=-1, shell_complete=complete_argument)
@script_options
@click.pass_context
def run(
    context: click.Context,
    /,
    statements: tuple[str, ...],
    script_file: TextIO | None,
    operation_id: str,
    output: str | None,
) -> None:
    """Run STATEMENTS, separated by ; or by line ends."""
    pieces = list(statements)
    if script_file is not None:
        pieces.append(script_file.read())
    if not pieces:
        raise click.UsageError('a statement or --file is required')
    _perform(context, RunScript('\n'.join(pieces), operation_id), output)


@main.command()
@click.argument('statement', nargs=-1, required=True)
@click.option(
    '--count', type=click.IntRange(min=1), help='Stop after this many views.'
)
@output_option
@click.pass_context
def watch(
    context: click.Context,
    /,
    statement: tuple[str, ...],
    count: int | None,
    output: str | None,
) -> None:
    """Repeat a view, such as: watch engines where role = decode every 5s."""
    words = ' '.join(statement).removeprefix('watch ').removeprefix('show ')
    task = RunScript(f'watch {words}', view_limit=count)
    _perform(context, task, output)


@main.command()
@click.argument('path', metavar='CONFIG.json', type=FILE_TYPE)
@output_option
@click.pass_context
def load(
    context: click.Context,
    /,
    path: pathlib.Path,
    output: str | None,
) -> None:
    """Replace the whole configuration with CONFIG.json."""
    with _exit_on_failure():
        task = LoadConfiguration(read_document(path))
    _perform(context, task, output)


@main.command()
@click.argument('path', metavar='CONFIG.json', type=FILE_TYPE)
def check(path: pathlib.Path) -> None:
    """Validate CONFIG.json without contacting a host."""
    with _exit_on_failure():
        document = read_document(path)
    counts = (f'{len(entries)} {field}' for field, entries in document)
    listed = ', '.join(counts)
    click.echo(f'{path} is valid: {listed}')


@main.command()
@output_option
@click.pass_context
def state(context: click.Context, /, output: str | None) -> None:
    """Print the state dump of the first host that responds, as JSON."""
    _perform(context, ReadState(), output)


@main.command()
@click.argument('identity', metavar='REQUEST-ID')
@click.argument('files', nargs=-1, required=True, type=click.File('r'))
def logs(identity: str, files: tuple[TextIO, ...]) -> None:
    """Show the log records of one request from FILES of hosts' output."""
    records = find_request(identity, files)
    for record in records:
        click.echo(describe_record(record))
    if not records:
        raise click.ClickException(f'no record of request {identity}')


@main.command()
@click.argument('files', nargs=-1, required=True, type=click.File('r'))
@click.option(
    '--request',
    'requests',
    multiple=True,
    help='Only the request with this id.',
)
def explain(files: tuple[TextIO, ...], requests: tuple[str, ...]) -> None:
    """Explain why requests failed, from FILES of hosts' output."""
    explainer = Explainer(
        record for lines in files for record in read_records(lines)
    )
    explanations = explainer.failed()
    if requests:
        found = map(explainer.explain, requests)
        explanations = [
            explanation for explanation in found if explanation is not None
        ]
    for explanation in explanations:
        click.echo('\t'.join(dataclasses.astuple(explanation)))
    if requests and len(explanations) < len(requests):
        raise click.ClickException('no records found for some of the requests')


@main.command()
@click.pass_obj
def prompt(invocation: Invocation) -> None:
    """Read statements from an interactive prompt."""
    with _exit_on_failure():
        settings = invocation.load_settings()
    run_prompt(settings, lambda text: perform(RunScript(text), settings))


@main.command()
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print the SHELL script for completion of commands and statements.

    For bash: eval "$(geraniumctl completion bash)"
    """
    complete_class = get_completion_class(shell)
    if complete_class is None:
        raise click.UsageError(f'{shell} is not supported')
    complete = complete_class(main, {}, 'geraniumctl', '_GERANIUMCTL_COMPLETE')
    click.echo(complete.source())


def _perform(context: click.Context, task: Task, output: str | None) -> None:
    """Perform the task and exit with its exit code."""
    with _exit_on_failure():
        settings = context.obj.load_settings(output)
        code = asyncio.run(perform(task, settings))
    sys.exit(code)


@contextlib.contextmanager
def _exit_on_failure() -> Iterator[None]:
    try:
        yield
    except ClientError as error:
        sys.exit(report_failure(error))
