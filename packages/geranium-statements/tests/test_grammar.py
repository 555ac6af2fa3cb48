"""Tests parsing, positions of errors and completions."""

import geranium_statements as gs
import pytest
from geranium_model import Role


def test_query_with_every_clause():
    show = gs.parse_statement(
        'show engines columns engine, waiting'
        " where service = wording-llm and waiting_ms >= 500ms or engine like 'e%'"
        ' order by waiting desc, engine limit 5',
    )
    assert show.columns == (
        gs.conditions.ColumnName('engine'),
        gs.conditions.ColumnName('waiting'),
    )
    assert isinstance(show.where, gs.conditions.AnyOf)
    assert show.order_by == (
        gs.OrderBy(gs.conditions.ColumnName('waiting'), descending=True),
        gs.OrderBy(gs.conditions.ColumnName('engine')),
    )
    assert show.limit == 5


def test_for_clause_is_a_condition():
    short = gs.parse_statement(
        'show requests for team registry where age_s > 3'
    )
    explicit = gs.parse_statement(
        'show requests where team = registry and age_s > 3'
    )
    assert short == explicit


def test_orders_and_expected_version():
    assert gs.parse_statement('drain engine e-1') == gs.DrainEngine('e-1')
    assert gs.parse_statement('set role e-1 decode') == gs.SetEngineRole(
        'e-1', Role.DECODE
    )
    change = gs.parse_statement('cordon zone khomas-a if version 12')
    assert change == gs.Change(gs.commands.Cordon('khomas-a'), 12)


def test_keywords_are_valid_names_and_whitespace_is_ignored():
    change = gs.parse_statement('create  team\n order  # a comment')
    assert change == gs.Change(gs.commands.CreateTeam('order'))


@pytest.mark.parametrize(
    ('text', 'place', 'expected'),
    [
        ('set role e-1 fast', (1, 14), ('decode', 'mixed', 'prefill')),
        ('create key k for', (1, 17), ('team',)),
        ('create team', (1, 12), ("the team's name",)),
        (
            'show engines\nwhere role = ',
            (2, 13),
            (
                'a duration such as 500ms',
                'a name',
                'a number',
                'a path such as /orders',
                'an address such as 10.0.0.1:8000',
                'false',
                'none',
                'true',
            ),
        ),
        ('drain engine e-1 now', (1, 18), ('the end',)),
        ('show engines where "a', (1, 20), ("a column's name", '(', 'not')),
        ('show engines limit many', (1, 20), ('a whole number',)),
        ('cordon khomas-a', (1, 8), ('zone',)),
        ('create team a create team b', (1, 15), ('if', 'weight', 'the end')),
    ],
)
def test_error_has_position_and_expected_tokens(text, place, expected):
    with pytest.raises(gs.StatementError) as caught:
        gs.parse_statement(text)
    assert (caught.value.line, caught.value.column) == place
    assert caught.value.expected == expected


def test_error_of_a_duplicate_option_has_its_position():
    text = 'set route r for service s path /a path /b'
    with pytest.raises(
        gs.StatementError, match='path is given twice'
    ) as caught:
        gs.parse_statement(text)
    assert gs.render_error(caught.value, text).split('\n') == [
        text,
        '^'.rjust(text.rindex('path') + 1),
        'line 1, column 35: path is given twice',
    ]


@pytest.mark.parametrize(
    'condition',
    [
        ''.join(('not ' * 2000, 'a = 1')),
        ''.join(('(' * 9000, 'a = 1', ')' * 9000)),
        ''.join(('a = 1', ' or a = 1' * 4000)),
        ''.join(('not (' * 90, 'a = 1', ')' * 90)),
    ],
)
def test_too_deep_or_long_condition_is_rejected(condition):
    with pytest.raises(gs.StatementError, match=r'nest more|at most'):
        gs.parse_statement(f'show engines where {condition}')


def test_completions_follow_the_grammar():
    assert 'engines' in gs.completions('show ')
    assert 'where' in gs.completions('show engines ')
    assert gs.completions('set role e-1 ') == ('decode', 'mixed', 'prefill')
    assert gs.completions('nonsense ') == ()
