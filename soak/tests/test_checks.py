"""Each check reports the violation that it covers, and nothing else."""

import dataclasses
import math

import pytest
from geranium_platform_standins import (
    ReceivedRequest,
    count_events,
    format_event,
)
from geranium_soak import Bounds, Ledger, find_violations
from geranium_soak.observations import (
    STORE,
    CallerLeft,
    Change,
    ConnectionCut,
    Disruption,
    ProviderCall,
    RequestKind,
    Response,
    SentRequest,
    Span,
    TargetRequest,
)

BOUNDS = Bounds()
SENT = SentRequest(
    '1', RequestKind.UNSAFE, '/unsafe/1', b'b', 'key', 'team', 'h', 1, 100
)
TAKEN = ReceivedRequest('1', 'i-1', 'app', '/unsafe/1', b'b', 'team', ())
TARGET_REQUEST = TargetRequest(
    TAKEN,
    100.1,
    ran_at=100.1,
    ended_at=100.2,
    answers={'s': b'answer'},
)
ANSWERED = Response(200, 's', b'answer', 100.2)
REPORT = ProviderCall('usage', 'h', 1, 7, {'team': 3}, 100)


@pytest.fixture
def ledger() -> Ledger:
    """Return a ledger with one successful request."""
    ledger = Ledger()
    note(ledger, SENT, [TARGET_REQUEST], ANSWERED)
    return ledger


def note(ledger, sent, target_requests, end) -> None:
    ledger.sent_by_id[sent.identity] = sent
    ledger.target_requests_by_id[sent.identity].extend(target_requests)
    ledger.outcome_by_id[sent.identity] = end


def change_target_request(ledger, **changes) -> None:
    ledger.target_requests_by_id['1'] = [
        dataclasses.replace(TARGET_REQUEST, **changes)
    ]


def change_taken(ledger, **changes) -> None:
    change_target_request(ledger, taken=dataclasses.replace(TAKEN, **changes))


def target_request_of(identity, **changes) -> TargetRequest:
    taken = dataclasses.replace(TAKEN, identity=identity)
    return dataclasses.replace(TARGET_REQUEST, taken=taken, **changes)


def change_sent(ledger, **changes) -> None:
    ledger.sent_by_id['1'] = dataclasses.replace(SENT, **changes)


def broken(ledger) -> set[str]:
    """Return the violated guarantees except the recovery after the faults."""
    found = find_violations(ledger, BOUNDS)
    return {one.promise for one in found} - {'recovery'}


def disturb(ledger, subject, began_at, *, planned=False) -> None:
    ledger.disruptions.append(
        Disruption('x', frozenset((subject,)), planned, began_at, 101),
    )


def test_a_good_run_breaks_nothing(ledger) -> None:
    assert not broken(ledger)


def test_second_run(ledger) -> None:
    ledger.target_requests_by_id['1'].append(TARGET_REQUEST)
    assert broken(ledger) == {'at most once'}

    change_sent(ledger, kind=RequestKind.SAFE)
    assert not broken(ledger)


def test_refusal_of_what_ran(ledger) -> None:
    ledger.outcome_by_id['1'] = Response(503, None, b'', 100.2)
    assert broken(ledger) == {'true refusal'}

    change_target_request(ledger, ran_at=None)
    assert not broken(ledger)


@pytest.mark.parametrize(
    'end',
    [
        Response(200, 's', b'other', 100.2),
        Response(200, 'other', b'answer', 100.2),
        Response(200, None, b'answer', 100.2),
    ],
)
def test_answer_that_is_not_the_targets(ledger, end) -> None:
    ledger.outcome_by_id['1'] = end

    assert broken(ledger) == {'own answer'}


@pytest.mark.parametrize(
    ('missing', 'expected'),
    [(0, set()), (1, {'own answer'})],
)
def test_stream_that_ends_early(ledger, missing, expected) -> None:
    count = count_events('2') - missing
    events = [format_event('2', one + 1) for one in range(count)]
    body = b''.join(events)
    sent = dataclasses.replace(SENT, identity='2', kind=RequestKind.STREAM)
    taken = dataclasses.replace(TAKEN, identity='2', service='llm')
    target_request = dataclasses.replace(TARGET_REQUEST, taken=taken)
    note(ledger, sent, [target_request], Response(200, 's', body, 100.2))

    assert broken(ledger) == expected


@pytest.mark.parametrize(
    'changes',
    [{'path': '/x'}, {'body': b'x'}, {'team': 'x'}, {'forged': ('Kv-Hold',)}],
)
def test_request_that_is_not_the_callers(ledger, changes) -> None:
    change_taken(ledger, **changes)

    assert broken(ledger) == {'as sent'}


def test_request_that_nobody_sent(ledger) -> None:
    ledger.target_requests_by_id['9'].append(TARGET_REQUEST)

    assert broken(ledger) == {'as sent'}


def test_prompt_of_another_request(ledger) -> None:
    ledger.crossed_prompts.append('1')

    assert broken(ledger) == {'own prompt'}


def test_run_at_another_service(ledger) -> None:
    change_taken(ledger, service='llm')

    assert broken(ledger) == {'own service'}


@pytest.mark.parametrize(
    ('withdrawn_at', 'expected'),
    [(94.9, {'withdrawn key'}), (95.1, set())],
)
def test_withdrawn_key(ledger, withdrawn_at, expected) -> None:
    ledger.changes.append(Change(2, withdrawn_at, frozenset(('key',))))

    assert broken(ledger) == expected


@pytest.mark.parametrize(
    ('incarnation', 'expected'),
    [(1, {'version goes on'}), (2, set())],
)
def test_older_version_after_a_newer_one(
    ledger,
    incarnation,
    expected,
) -> None:
    disturb(ledger, 'h', 90)
    change_sent(ledger, kind=RequestKind.SAFE, probed_version=3)
    older = dataclasses.replace(
        SENT,
        identity='2',
        kind=RequestKind.SAFE,
        probed_version=2,
        incarnation=incarnation,
        at=100.5,
    )
    run = target_request_of('2', at=100.6)
    note(ledger, older, [run], ANSWERED)

    assert broken(ledger) == expected


@pytest.mark.parametrize(
    ('subject', 'expected'),
    [('other', {'version in time'}), ('h', set()), (STORE, set())],
)
def test_old_version_long_after_its_end(ledger, subject, expected) -> None:
    ledger.changes.extend((Change(2, 50), Change(3, 97)))
    change_sent(ledger, kind=RequestKind.SAFE, probed_version=2)
    disturb(ledger, subject, 98)

    assert broken(ledger) == expected


def test_new_version_that_is_not_known_in_time(ledger) -> None:
    ledger.changes.append(Change(2, 97))
    change_sent(ledger, kind=RequestKind.SAFE, probed_version=2)
    change_target_request(ledger, ran_at=None)
    ledger.outcome_by_id['1'] = Response(404, None, b'', 100.2)

    assert broken(ledger) == {'version in time'}


@pytest.mark.parametrize(
    'following',
    [
        {'fence': 0},
        {'holder': 'other'},
    ],
)
def test_two_holders(ledger, following) -> None:
    ledger.provider_calls.append(REPORT)
    ledger.provider_calls.append(dataclasses.replace(REPORT, **following))

    assert broken(ledger) == {'one holder'}


@pytest.mark.parametrize(
    ('last_at', 'expected'),
    [(102, {'one holder'}), (103.5, set())],
)
def test_holders_that_take_turns(ledger, last_at, expected) -> None:
    ledger.provider_calls.extend(
        (
            ProviderCall('usage', 'a', 1, None, {}, 100),
            ProviderCall('usage', 'b', 2, None, {}, 101),
            ProviderCall('usage', 'a', 3, None, {}, last_at),
        ),
    )

    assert broken(ledger) == expected


def test_window_with_two_figures(ledger) -> None:
    ledger.provider_calls.append(REPORT)
    ledger.provider_calls.append(REPORT)
    assert not broken(ledger)

    ledger.provider_calls.append(
        dataclasses.replace(REPORT, counts_by_team={'team': 4}),
    )
    assert broken(ledger) == {'window once'}


@pytest.mark.parametrize(
    ('reported', 'expected'),
    [(1, set()), (9, {'usage'})],
)
def test_usage_that_is_off(ledger, reported, expected) -> None:
    ledger.calm = Span(0, math.inf)
    ledger.unix_offset_s = 0
    window = int(TARGET_REQUEST.ran_at // BOUNDS.window_s)
    ledger.provider_calls.append(
        dataclasses.replace(
            REPORT,
            window=window,
            counts_by_team={'team': reported},
        ),
    )

    assert broken(ledger) == expected


def test_usage_of_a_window_in_which_callers_stopped(ledger) -> None:
    """Hosts do not count requests that were running when callers stopped."""
    ledger.calm = Span(0, math.inf)
    ledger.unix_offset_s = 0
    window = int(TARGET_REQUEST.ran_at // BOUNDS.window_s)
    report = dataclasses.replace(
        REPORT,
        window=window,
        counts_by_team={'team': 9},
    )
    ledger.provider_calls.append(report)
    assert broken(ledger) == {'usage'}

    ledger.calm = Span(0, TARGET_REQUEST.ran_at)
    assert not broken(ledger)


@pytest.mark.parametrize(
    ('left_at', 'expected'),
    [(98, {'leaving target'}), (98.2, set())],
)
def test_target_that_leaves(ledger, left_at, expected) -> None:
    ledger.left_at_by_target['i-1'] = left_at

    assert broken(ledger) == expected


@pytest.mark.parametrize(
    ('planned', 'expected'),
    [(True, {'planned work'}), (False, set())],
)
def test_cut_beside_work(ledger, planned, expected) -> None:
    ledger.outcome_by_id['1'] = ConnectionCut('reset', 100.2)
    disturb(ledger, 'h', 99, planned=planned)

    assert broken(ledger) == expected


def test_work_for_callers_that_left(ledger) -> None:
    for number in range(20, 28):
        identity = str(number)
        note(
            ledger,
            dataclasses.replace(SENT, identity=identity),
            [target_request_of(identity, ended_at=102)],
            CallerLeft(100.3),
        )

    assert broken(ledger) == {'caller left'}


@pytest.mark.parametrize(('served', 'kept'), [(9, True), (8, False)])
def test_service_after_the_faults(served, kept) -> None:
    ledger = Ledger()
    ledger.calm = Span(0, math.inf)
    for number in range(10):
        end = ANSWERED if number < served else ConnectionCut('reset', 100.2)
        identity = str(number)
        run = target_request_of(identity, ran_at=None)
        sent = dataclasses.replace(SENT, identity=identity)
        note(ledger, sent, [run], end)

    found = {one.promise for one in find_violations(ledger, BOUNDS)}

    assert ('recovery' not in found) is kept
