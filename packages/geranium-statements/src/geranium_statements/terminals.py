"""Describes the grammar's terminals in error messages."""

import types
from collections.abc import Iterable

import lark
from lark.lexer import PatternStr, TerminalDef

_DESCRIPTIONS_BY_TERMINAL = types.MappingProxyType(
    {
        'INTEGER': 'a whole number',
        'NUMBER': 'a number',
        'DURATION': 'a duration such as 500ms',
        'ADDRESS': 'an address such as 10.0.0.1:8000',
        'PATH': 'a path such as /orders',
        'STRING': 'a quoted text',
        '$END': 'the end',
    },
)
_NAMED_KINDS = frozenset(
    (
        'zone',
        'region',
        'team',
        'key',
        'service',
        'engine',
        'target',
        'route',
        'host',
        'request',
        'model',
        'adapter',
    )
)


class TerminalDescriptions:
    """Describes the terminals that the parser accepts at a position.

    Args:
        terminals: The terminals of the grammar.
    """

    def __init__(self, terminals: Iterable[TerminalDef]) -> None:
        self._keywords_by_terminal = {
            terminal.name: terminal.pattern.value
            for terminal in terminals
            if isinstance(terminal.pattern, PatternStr)
        }

    @property
    def keywords(self) -> frozenset[str]:
        """The keywords of the grammar."""
        return frozenset(
            keyword
            for keyword in self._keywords_by_terminal.values()
            if keyword[0].isalpha()
        )

    def keywords_among(self, terminals: Iterable[str]) -> tuple[str, ...]:
        """Return the keywords among the terminals, sorted."""
        return tuple(
            sorted(
                self._keywords_by_terminal[terminal]
                for terminal in terminals
                if terminal in self._keywords_by_terminal
            )
        )

    def expected(
        self,
        terminals: Iterable[str],
        previous: object = None,
    ) -> tuple[str, ...]:
        """Return descriptions of the accepted terminals.

        Names and literals come first, then keywords, then the end of the
        statement.

        Args:
            terminals: Names of the terminals that are accepted.
            previous: The preceding token, which determines the kind of a name.
        """
        accepted = set(terminals)
        if 'NAME' in accepted:
            # A name is always allowed to be quoted, so STRING is redundant.
            accepted.discard('STRING')
        described = sorted(
            self._describe(terminal, previous)
            for terminal in accepted
            if terminal not in self._keywords_by_terminal
        )
        end = [word for word in described if word == 'the end']
        rest = [word for word in described if word != 'the end']
        return (*rest, *self.keywords_among(accepted), *end)

    def _describe(self, terminal: str, previous: object) -> str:
        if terminal == 'NAME':
            return _describe_name(previous)
        return _DESCRIPTIONS_BY_TERMINAL[terminal]


def _describe_name(previous: object) -> str:
    if not isinstance(previous, lark.Token):
        return 'a name'
    if previous in _NAMED_KINDS:
        return f"the {previous}'s name"
    if previous in {'where', 'and', 'or', 'not', 'by', 'columns'}:
        return "a column's name"
    return 'a name'
