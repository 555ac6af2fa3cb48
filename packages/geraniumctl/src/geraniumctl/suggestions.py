"""Completes statements, in the prompt and in the shell."""

import re
from collections.abc import Iterable, Iterator

import click
from click.shell_completion import CompletionItem
from geranium_statements import completions
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document

_WORD_END = re.compile(r'[\w.-]*$')
_STATEMENT_START = re.compile(r'[;\n]')


def suggest_words(text: str) -> Iterator[str]:
    """Yield the words that may stand where the text's last one is begun."""
    statement = _STATEMENT_START.split(text)[-1]
    begun = _last_word(statement)
    before = statement.removesuffix(begun)
    for word in completions(before):
        if word.startswith(begun) and word != begun:
            yield word


def complete_argument(
    context: click.Context,
    parameter: click.Parameter,
    incomplete: str,
) -> list[CompletionItem]:
    """Complete a statement that is given as one argument of the shell."""
    begun = _last_word(incomplete)
    before = incomplete.removesuffix(begun)
    return [
        CompletionItem(f'{before}{word}') for word in suggest_words(incomplete)
    ]


class StatementCompleter(Completer):
    """Completes statements in the prompt."""

    def get_completions(
        self,
        document: Document,
        complete_event: CompleteEvent,
    ) -> Iterable[Completion]:
        """Yield the words that may stand at the cursor."""
        text = document.text_before_cursor
        begun = len(_last_word(text))
        for word in suggest_words(text):
            yield Completion(word, start_position=-begun)


def _last_word(text: str) -> str:
    match = _WORD_END.search(text)
    return match.group() if match else ''
