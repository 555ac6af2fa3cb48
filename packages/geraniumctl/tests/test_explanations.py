"""Tests explanations of failed requests from hosts' logs."""

import datetime
import json
import pathlib

from click.testing import CliRunner
from geraniumctl.cli import main
from geraniumctl.explanations import Explainer

TARGET = 't1@5'
START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)


def line(second: float, event: str, **fields: object) -> dict[str, object]:
    at = START + datetime.timedelta(seconds=second)
    return {'timestamp': at.isoformat(), 'host': 'h1', 'event': event, **fields}


def end(second: float, outcome: str, detail: object, **fields: object):
    return line(
        second,
        'ended',
        request='r1',
        route='card',
        outcome=outcome,
        detail=detail,
        **fields,
    )


def failure(second: float, error: str) -> dict[str, object]:
    return line(
        second,
        'attempt_failed',
        request='r1',
        target=TARGET,
        error=error,
    )


def cause_of(*records: dict[str, object]) -> str:
    explanation = Explainer(records).explain('r1')
    assert explanation is not None
    return explanation.cause


def test_lost_response_of_a_target_that_went_down() -> None:
    cause = cause_of(
        end(2, 'Failed', 'AnswerLostError'),
        failure(1.9, 'AnswerLostError(reset)'),
        line(4, 'target_gone', target=TARGET),
    )

    assert cause == (
        'AnswerLostError at t1@5, which went down; then: AnswerLostError'
    )


def test_target_removed_much_later_is_not_the_cause() -> None:
    cause = cause_of(
        failure(1.9, 'TargetSilentError()'),
        end(2, 'CutOff', 'silent'),
        line(30, 'target_gone', target=TARGET),
    )

    assert 'went down' not in cause


def test_refusal_names_the_scarce_resource() -> None:
    busy = line(1, 'engines_busy', request='r1', free_in_s=0.9)

    short_of_engines = cause_of(
        busy,
        end(1, 'Refused', ['engines busy', 0.9], left_s=2),
    )
    short_of_time = cause_of(
        busy,
        end(1, 'Refused', ['engines busy', 0.9], left_s=0.1),
    )

    assert short_of_engines == (
        'engines busy: the least busy one is free in 0.9 s'
    )
    assert short_of_time == 'engines busy: only 0.1 s left to the deadline'


def test_disconnected_caller_is_explained_with_its_last_event() -> None:
    cause = cause_of(
        line(1, 'dispatched', request='r1', target=TARGET),
        end(3, 'CallerLeft', None, took_s=2, left_s=0.1),
    )

    assert cause == (
        'the caller left after 2 s, 0.1 s before its deadline, '
        'its request dispatched at t1@5'
    )


def test_request_without_an_end_record() -> None:
    dispatched = line(1, 'dispatched', request='r1')

    assert 'no end' in cause_of(line(0, 'started'), dispatched)
    assert 'went down' in cause_of(dispatched, line(3, 'started'))


def test_command_lists_failed_requests(
    tmp_path: pathlib.Path,
) -> None:
    records = [
        end(1, 'Refused', ['no target', 0.25], left_s=1),
        line(1, 'ended', request='r2', outcome='Delivered', detail=200),
        line(
            1,
            'rejected',
            request='r3',
            outcome='UnknownKey',
            catalogue=3,
            catalogue_age_s=0.1,
        ),
    ]
    path = tmp_path / 'host.log'
    path.write_text('\n'.join(map(json.dumps, records)))

    shown = CliRunner().invoke(main, ['explain', str(path)])

    assert shown.exit_code == 0
    rows = [row.split('\t') for row in shown.output.splitlines()]
    assert [row[0] for row in rows] == ['r1', 'r3']
    assert rows[0] == ['r1', 'card', 'Refused', 'no target']
