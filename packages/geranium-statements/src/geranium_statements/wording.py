"""The grammar's terminals in the operator's words."""

import types
from collections.abc import Iterable

import lark
from lark.lexer import PatternStr, TerminalDef

_WORDS_BY_TERMINAL = types.MappingProxyType(
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


class Wording:
    """Says what a parser would have accepted.

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
        """The words that can have a meaning of their own."""
        return frozenset(
            keyword
            for keyword in self._keywords_by_terminal.values()
            if keyword[0].isalpha()
        )

    def words_among(self, terminals: Iterable[str]) -> tuple[str, ...]:
        """Return the accepted terminals that are fixed words, sorted."""
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
        """Say what could stand at a place, names before fixed words.

        Args:
            terminals: Names of the terminals that are accepted there.
            previous: The word before the place, which tells a name's kind.
        """
        accepted = set(terminals)
        if 'NAME' in accepted:
            # Wherever a name may stand, it may also be quoted.
            accepted.discard('STRING')
        described = sorted(
            self._describe(terminal, previous)
            for terminal in accepted
            if terminal not in self._keywords_by_terminal
        )
        end = [word for word in described if word == 'the end']
        rest = [word for word in described if word != 'the end']
        return (*rest, *self.words_among(accepted), *end)

    def _describe(self, terminal: str, previous: object) -> str:
        if terminal == 'NAME':
            return _name_of(previous)
        return _WORDS_BY_TERMINAL[terminal]


def _name_of(previous: object) -> str:
    if not isinstance(previous, lark.Token):
        return 'a name'
    if previous in _NAMED_KINDS:
        return f"the {previous}'s name"
    if previous in {'where', 'and', 'or', 'not', 'by', 'columns'}:
        return "a column's name"
    return 'a name'
