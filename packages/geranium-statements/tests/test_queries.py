"""Tests the evaluation of queries and the merging of tables."""

import geranium_statements as gs
import pydantic
import pytest
from geranium_statements import responses

ENGINES = gs.build_table(
    ('engine', 'service', 'version', 'waiting', 'load_age_ms', 'draining'),
    (
        ('e-1', 'wording-llm', '1.10', 4, 350, False),
        ('e-2', 'wording-llm', '1.9', 0, 1200.5, True),
        ('e-3', 'lm-desk', '1.10', 9, None, False),
    ),
    notes=('load reports lag',),
)


def _engines(query):
    statement = gs.parse_statement(f'show engines {query}')
    table = gs.run_query(statement, ENGINES)
    return [row[0] for row in table.rows]


@pytest.mark.parametrize(
    ('query', 'engines'),
    [
        ('', ['e-1', 'e-2', 'e-3']),
        ('where service = wording-llm', ['e-1', 'e-2']),
        ('where service != wording-llm', ['e-3']),
        ('where version = 1.10', ['e-1', 'e-3']),
        ('where version < "1.9"', ['e-1', 'e-3']),
        ('where waiting >= 4 and not draining = true', ['e-1', 'e-3']),
        ('where waiting = 4.0', ['e-1']),
        ('where load_age_ms > 500ms', ['e-2']),
        ('where load_age_ms <= 0.35s', ['e-1']),
        ('where load_age_ms = 0.35s', ['e-1']),
        ('where load_age_ms = none', ['e-3']),
        ('where load_age_ms != none', ['e-1', 'e-2']),
        ('where engine in (e-1, e-3, nobody)', ['e-1', 'e-3']),
        ('where engine not in (e-1, e-3)', ['e-2']),
        ("where service like 'word%'", ['e-1', 'e-2']),
        ("where service not like '%des_'", ['e-1', 'e-2']),
        ("where service like 'word.*'", []),
        (
            'where waiting = 0 or (waiting = 9 and draining = false)',
            ['e-2', 'e-3'],
        ),
        ('order by waiting desc', ['e-3', 'e-1', 'e-2']),
        ('order by load_age_ms desc', ['e-2', 'e-1', 'e-3']),
        ('order by load_age_ms', ['e-1', 'e-2', 'e-3']),
        ('order by version desc, waiting desc limit 2', ['e-2', 'e-3']),
        ('limit 0', []),
    ],
)
def test_query_selects_rows(query, engines):
    assert _engines(query) == engines


def test_columns_are_projected_and_notes_kept():
    show = gs.parse_statement('show engines columns waiting, engine limit 1')
    assert gs.run_query(show, ENGINES) == gs.build_table(
        ('waiting', 'engine'), ((4, 'e-1'),), notes=('load reports lag',)
    )


@pytest.mark.parametrize(
    ('query', 'place', 'message', 'expected'),
    [
        ('where servise = x', 20, "no column 'servise'", ('service',)),
        ('order by waitin', 23, "no column 'waitin'", ('waiting',)),
        ('columns engin', 22, "no column 'engin'", ('engine',)),
        ('where waiting > many', 20, 'holds numbers', ()),
        ('where service > 3', 20, 'holds texts', ()),
        ('where draining = yes', 20, 'holds true or false', ()),
        ('where waiting > 3ms', 20, 'does not hold times', ()),
        ('where draining < true', 20, 'by = or !=', ()),
        ('where waiting >= none', 20, 'by = or !=', ()),
    ],
)
def test_error_of_an_invalid_comparison_has_its_position(
    query, place, message, expected
):
    with pytest.raises(gs.StatementError, match=message) as caught:
        _engines(query)
    assert caught.value.column == place
    assert caught.value.expected == expected


def test_merge_combines_columns_and_lists_missing_hosts():
    older = gs.build_table(('host', 'team'), (('a', 'registry'),), ('stale',))
    newer = gs.build_table(
        ('host', 'team', 'tokens'), (('b', 'couples', 7),), ('stale',)
    )
    merged = gs.merge_responses(
        (
            gs.HostResponse('a', older),
            gs.NoResponse('c', 'no answer within 2 s'),
            gs.HostResponse('b', newer),
        ),
    )
    assert merged.rows == (('a', 'registry', None), ('b', 'couples', 7))
    assert merged.notes == (
        'stale',
        'c did not answer: no answer within 2 s',
    )
    assert merged.missing_hosts == ('c',)


def test_query_of_merged_tables_equals_query_of_the_whole():
    show = gs.parse_statement(
        'show engines columns engine where waiting < 9 order by waiting limit 1'
    )
    parts = [
        gs.HostResponse(row[0], gs.build_table(_names(), (row,)))
        for row in ENGINES.rows
    ]
    merged = gs.merge_responses(
        gs.HostResponse(
            part.host, gs.run_query(show.per_host_query(), part.table)
        )
        for part in parts
    )
    assert gs.run_query(show, merged).rows == gs.run_query(show, ENGINES).rows


def _names():
    return [column.name for column in ENGINES.columns]


def test_table_round_trips_through_json():
    wire = responses.table_to_json(ENGINES)
    assert responses.table_from_json(wire) == ENGINES


def test_rows_of_wrong_length_are_rejected():
    with pytest.raises(pydantic.ValidationError, match='a cell for each'):
        responses.table_from_json({'columns': ['a', 'b'], 'rows': [[1]]})


def test_error_round_trips_through_json():
    error = gs.StatementError('no', 2, 7, ('engines', 'hosts'))
    read = responses.error_from_json(responses.error_to_json(error))
    assert (read.message, read.line, read.column) == ('no', 2, 7)
    assert read.expected == error.expected


def test_script_is_split_outside_quotes_and_comments():
    script = 'show hosts; show teams # a; comment\n\n  create team "a;#b"\n'
    assert list(gs.split_script(script)) == [
        gs.ScriptStatement('show hosts', 1, 1),
        gs.ScriptStatement('show teams', 1, 13),
        gs.ScriptStatement('create team "a;#b"', 3, 3),
    ]


def test_error_position_is_relative_to_the_script():
    error = gs.StatementError('no', 1, 5).with_origin(3, 3)
    assert (error.line, error.column) == (3, 7)
