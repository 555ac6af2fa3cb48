"""Completion of statements in the prompt and in the shell."""

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
    """Yield the keywords that can complete the last word of the text."""
    statement = _STATEMENT_START.split(text)[-1]
    prefix = _last_word(statement)
    before = statement.removesuffix(prefix)
    for word in completions(before):
        if word.startswith(prefix) and word != prefix:
            yield word


def complete_argument(
    context: click.Context,
    parameter: click.Parameter,
    incomplete: str,
) -> list[CompletionItem]:
    """Return completions of a statement that is one shell argument."""
    prefix = _last_word(incomplete)
    before = incomplete.removesuffix(prefix)
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
        """Yield the keywords that are valid at the cursor."""
        text = document.text_before_cursor
        prefix_length = len(_last_word(text))
        for word in suggest_words(text):
            yield Completion(word, start_position=-prefix_length)


def _last_word(text: str) -> str:
    match = _WORD_END.search(text)
    return match.group() if match else ''
