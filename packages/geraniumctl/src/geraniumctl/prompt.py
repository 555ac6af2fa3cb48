"""The interactive prompt."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

import click
from prompt_toolkit import PromptSession
from prompt_toolkit.history import FileHistory

from .exit_codes import ExitCode
from .settings import Settings
from .suggestions import StatementCompleter

_EXIT_WORDS = frozenset(('exit', 'quit'))
_HELP = """\
Enter a statement, such as:
  show engines where role = prefill order by waiting desc
  watch requests for team registry every 2s
  drain engine e-1
Tab completes, the arrow keys recall earlier statements, Ctrl-C stops a watch,
Ctrl-D exits. docs/STATEMENTS.md lists every statement."""

Execute: TypeAlias = Callable[[str], Coroutine[Any, Any, ExitCode]]


def run_prompt(settings: Settings, execute: Execute) -> None:
    """Read and execute statements until the operator exits.

    Args:
        settings: The settings, which name the history file.
        execute: Runs a script and prints its results or errors.
    """
    session: PromptSession[str] = PromptSession(
        'geranium> ',
        history=FileHistory(str(settings.history_file)),
        completer=StatementCompleter(),
        complete_while_typing=False,
    )
    while True:
        try:
            text = session.prompt().strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return
        if text in _EXIT_WORDS:
            return
        if text:
            _execute(text, execute)


def _execute(text: str, execute: Execute) -> None:
    if text == 'help':
        click.echo(_HELP)
        return
    try:
        asyncio.run(execute(text))
    except KeyboardInterrupt:
        click.echo('interrupted', err=True)
