"""Parses statements."""

import functools
from importlib import resources
from typing import cast

import lark
from lark.lexer import LexerState
from lark.parsers.lalr_interactive_parser import InteractiveParser

from .builders import StatementBuilder
from .exceptions import StatementError
from .statements import Statement
from .terminals import TerminalDescriptions

MAX_STATEMENT_CHARACTERS = 16_384
MAX_NESTING = 64


def parse_statement(text: str) -> Statement:
    """Return the parsed statement.

    Raises:
        StatementError: If it is malformed; the error has its position.
    """
    return _parser().parse(text)


def completions(text: str) -> tuple[str, ...]:
    """Return the keywords that can follow the text, sorted.

    The text is the part of a statement before the word being typed. The result
    is empty if the text is malformed.
    """
    return _parser().completions(text)


def keywords() -> frozenset[str]:
    """Return all keywords of the language."""
    return _parser().keywords


@functools.cache
def _parser() -> '_StatementParser':
    return _StatementParser()


class _StatementParser:
    def __init__(self) -> None:
        grammar = resources.files(__package__).joinpath('statements.lark')
        self._lark = lark.Lark(
            grammar.read_text('utf-8'),
            parser='lalr',
            maybe_placeholders=True,
        )
        self._builder = StatementBuilder()
        self._terminals = TerminalDescriptions(self._lark.terminals)
        self.keywords = self._terminals.keywords

    def parse(self, text: str) -> Statement:
        """Return the parsed statement."""
        if len(text) > MAX_STATEMENT_CHARACTERS:
            raise StatementError(
                f'a statement has at most {MAX_STATEMENT_CHARACTERS} characters'
            )
        try:
            tree = self._lark.parse(text)
        except lark.UnexpectedInput as error:
            raise self._statement_error(error) from None
        _check_nesting(tree)
        return self._build(tree)

    def completions(self, text: str) -> tuple[str, ...]:
        """Return the keywords that can follow the text."""
        interactive = self._lark.parse_interactive(text)
        try:
            interactive.exhaust_lexer()
        except lark.UnexpectedInput:
            return ()
        return self._terminals.keywords_among(_accepted_terminals(interactive))

    def _build(self, tree: lark.Tree[lark.Token]) -> Statement:
        try:
            return cast(Statement, self._builder.transform(tree))
        except lark.exceptions.VisitError as error:
            if isinstance(error.orig_exc, StatementError):
                raise error.orig_exc from None
            raise

    def _statement_error(self, error: lark.UnexpectedInput) -> StatementError:
        interactive = error.interactive_parser
        stack = interactive.parser_state.value_stack
        expected = self._terminals.expected(
            _accepted_terminals(interactive),
            previous=stack[-1] if stack else None,
        )
        line, column = _position(error)
        return StatementError(_error_message(error), line, column, expected)


def _accepted_terminals(interactive: InteractiveParser) -> frozenset[str]:
    return frozenset(interactive.accepts())  # type: ignore[no-untyped-call]


def _error_message(error: lark.UnexpectedInput) -> str:
    match error:
        case lark.UnexpectedToken(token=token) if token.type != '$END':
            return f'{str(token)!r} does not fit here'
        case lark.UnexpectedCharacters(char=character):
            return f'{character!r} does not fit here'
        case _:
            return 'the statement ends too early'


def _position(error: lark.UnexpectedInput) -> tuple[int, int]:
    match error:
        case lark.UnexpectedToken(token=token) if token.type == '$END':
            return _end_position(error.interactive_parser.lexer_thread.state)
        case _:
            return error.line, error.column


def _end_position(state: LexerState | None) -> tuple[int, int]:
    last = None if state is None else state.last_token
    if last is None:
        return 1, 1
    return last.end_line or 1, last.end_column or 1


def _check_nesting(tree: lark.Tree[lark.Token]) -> None:
    depths: dict[int, int] = {}
    for subtree in tree.iter_subtrees():
        child_depths = (depths.get(id(child), 0) for child in subtree.children)
        depths[id(subtree)] = 1 + max(child_depths, default=0)
    if depths[id(tree)] > MAX_NESTING:
        raise StatementError(f'conditions nest more than {MAX_NESTING} deep')
