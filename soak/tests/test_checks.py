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
    Sender,
    SentRequest,
    Span,
    TargetRequest,
)

BOUNDS = Bounds()
SENT = SentRequest(
    '1', RequestKind.UNSAFE, '/unsafe/1', b'b', 'key', 'team', 'h', 1, 100
)
TAKEN = ReceivedRequest('1', 'i-1', 'app', '/unsafe/1', b'b', 'team', ())
SENDER = Sender('h', 1)
TARGET_REQUEST = TargetRequest(
    TAKEN,
    SENDER,
    100.1,
    ran_at=100.1,
    ended_at=100.2,
    responses={'s': b'answer'},
)
RESPONSE = Response(200, 's', b'answer', 100.2)
REPORT = ProviderCall('usage', 'h', 1, 7, {'team': 3}, 100)


@pytest.fixture
def ledger() -> Ledger:
    """Return a ledger with one successful request."""
    ledger = Ledger()
    record(ledger, SENT, [TARGET_REQUEST], RESPONSE)
    return ledger


def record(ledger, sent, target_requests, end) -> None:
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


def violated(ledger) -> set[str]:
    """Return the violated guarantees except the recovery after the faults."""
    found = find_violations(ledger, BOUNDS)
    return {violation.promise for violation in found} - {'recovery'}


def disrupt(ledger, subject, began_at, *, planned=False) -> None:
    ledger.disruptions.append(
        Disruption('x', frozenset((subject,)), planned, began_at, 101),
    )


def test_successful_run_has_no_violations(ledger) -> None:
    assert not violated(ledger)


def test_second_run(ledger) -> None:
    ledger.target_requests_by_id['1'].append(TARGET_REQUEST)
    assert violated(ledger) == {'at most once'}

    change_sent(ledger, kind=RequestKind.SAFE)
    assert not violated(ledger)


def test_refused_request_that_ran(ledger) -> None:
    ledger.outcome_by_id['1'] = Response(503, None, b'', 100.2)
    assert violated(ledger) == {'true refusal'}

    change_target_request(ledger, ran_at=None)
    assert not violated(ledger)


@pytest.mark.parametrize(
    'end',
    [
        Response(200, 's', b'other', 100.2),
        Response(200, 'other', b'answer', 100.2),
        Response(200, None, b'answer', 100.2),
    ],
)
def test_response_that_no_target_sent(ledger, end) -> None:
    ledger.outcome_by_id['1'] = end

    assert violated(ledger) == {'own answer'}


@pytest.mark.parametrize(
    ('missing', 'expected'),
    [(0, set()), (1, {'own answer'})],
)
def test_truncated_stream(ledger, missing, expected) -> None:
    count = count_events('2') - missing
    events = [format_event('2', one + 1) for one in range(count)]
    body = b''.join(events)
    sent = dataclasses.replace(SENT, identity='2', kind=RequestKind.STREAM)
    taken = dataclasses.replace(TAKEN, identity='2', service='llm')
    target_request = dataclasses.replace(TARGET_REQUEST, taken=taken)
    record(ledger, sent, [target_request], Response(200, 's', body, 100.2))

    assert violated(ledger) == expected


def record_later(ledger, sent_at, **changes) -> None:
    """Record a second request of the host to the same target."""
    sent = dataclasses.replace(SENT, identity='2', at=sent_at)
    target_request = target_request_of('2', at=sent_at + 0.1, **changes)
    record(ledger, sent, [target_request], RESPONSE)


@pytest.mark.parametrize(
    ('sent_at', 'expected'),
    [(102, set()), (102.5, {'departed target'})],
)
def test_request_after_an_announced_departure(
    ledger, sent_at, expected
) -> None:
    change_taken(ledger, announced=True)
    record_later(ledger, sent_at)

    assert violated(ledger) == expected


def test_restarted_host_may_not_know_of_a_departure(ledger) -> None:
    change_taken(ledger, announced=True)
    record_later(ledger, 104, sender=Sender('h', 2))

    assert not violated(ledger)


@pytest.mark.parametrize(
    ('sender', 'expected'),
    [(SENDER, {'departed target'}), (Sender('other', 1), set())],
)
def test_forwarded_request_to_a_departed_target(
    ledger, sender, expected
) -> None:
    change_taken(ledger, announced=True)
    record_later(ledger, 104, sender=sender)
    ledger.sent_by_id['2'] = dataclasses.replace(
        ledger.sent_by_id['2'], host='third'
    )

    assert violated(ledger) == expected


def ask_for_pause(ledger, **changes) -> None:
    """Let the target refuse the request and ask its sender for a pause."""
    change_target_request(
        ledger, paused_until=105, ran_at=None, responses={}, **changes
    )
    ledger.outcome_by_id['1'] = Response(503, None, b'', 100.2)


def record_in_pause(ledger, requests, **changes) -> None:
    for number in range(requests):
        identity = f'later-{number}'
        sent = dataclasses.replace(SENT, identity=identity, at=102)
        later = target_request_of(identity, at=102.1, **changes)
        record(ledger, sent, [later], RESPONSE)


@pytest.mark.parametrize(
    ('requests', 'expected'),
    [(2, set()), (3, {'paused target'})],
)
def test_requests_in_a_pause(ledger, requests, expected) -> None:
    ask_for_pause(ledger)
    record_in_pause(ledger, requests)

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('sender', 'expected'),
    [(SENDER, {'paused target'}), (Sender('other', 1), set())],
)
def test_forwarded_requests_in_a_pause(ledger, sender, expected) -> None:
    """Seed 4013: other hosts sent what the host had passed on."""
    ask_for_pause(ledger)
    record_in_pause(ledger, 3, sender=sender)

    assert violated(ledger) == expected


def test_pause_that_a_host_learned_with_a_forwarded_request(ledger) -> None:
    ask_for_pause(ledger, sender=Sender('other', 1))
    record_in_pause(ledger, 3)
    assert not violated(ledger)

    for arrivals in ledger.target_requests_by_id.values():
        arrivals[0].sender = Sender('other', 1)
    assert violated(ledger) == {'paused target'}


@pytest.mark.parametrize(
    ('paused', 'expected'), [('h', {'paused target'}), ('other', set())]
)
def test_fault_of_the_sender_in_a_pause(ledger, paused, expected) -> None:
    """A fault of the host that passed requests on excuses nothing."""
    ask_for_pause(ledger, sender=Sender('other', 1))
    record_in_pause(ledger, 3, sender=Sender('other', 1))
    disrupt(ledger, paused, 100.5)

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    'changes',
    [{'path': '/x'}, {'body': b'x'}, {'team': 'x'}, {'forged': ('Kv-Hold',)}],
)
def test_altered_request(ledger, changes) -> None:
    change_taken(ledger, **changes)

    assert violated(ledger) == {'as sent'}


def test_request_without_caller(ledger) -> None:
    ledger.target_requests_by_id['9'].append(TARGET_REQUEST)

    assert violated(ledger) == {'as sent'}


def test_prompt_of_another_request(ledger) -> None:
    ledger.mismatched_prompts.append('1')

    assert violated(ledger) == {'own prompt'}


def test_run_at_another_service(ledger) -> None:
    change_taken(ledger, service='llm')

    assert violated(ledger) == {'own service'}


@pytest.mark.parametrize(
    ('withdrawn_at', 'expected'),
    [(94.9, {'withdrawn key'}), (95.1, set())],
)
def test_withdrawn_key(ledger, withdrawn_at, expected) -> None:
    ledger.changes.append(Change(2, withdrawn_at, frozenset(('key',))))

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('incarnation', 'expected'),
    [(1, {'version goes on'}), (2, set())],
)
def test_older_version_after_a_newer_one(
    ledger,
    incarnation,
    expected,
) -> None:
    disrupt(ledger, 'h', 90)
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
    record(ledger, older, [run], RESPONSE)

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('subject', 'expected'),
    [('other', {'version in time'}), ('h', set()), (STORE, set())],
)
def test_outdated_version(ledger, subject, expected) -> None:
    ledger.changes.extend((Change(2, 50), Change(3, 97)))
    change_sent(ledger, kind=RequestKind.SAFE, probed_version=2)
    disrupt(ledger, subject, 98)

    assert violated(ledger) == expected


def test_version_applied_too_late(ledger) -> None:
    ledger.changes.append(Change(2, 97))
    change_sent(ledger, kind=RequestKind.SAFE, probed_version=2)
    change_target_request(ledger, ran_at=None)
    ledger.outcome_by_id['1'] = Response(404, None, b'', 100.2)

    assert violated(ledger) == {'version in time'}


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

    assert violated(ledger) == {'one holder'}


@pytest.mark.parametrize(
    ('last_at', 'expected'),
    [(102, {'one holder'}), (103.5, set())],
)
def test_alternating_holders(ledger, last_at, expected) -> None:
    ledger.provider_calls.extend(
        (
            ProviderCall('usage', 'a', 1, None, {}, 100),
            ProviderCall('usage', 'b', 2, None, {}, 101),
            ProviderCall('usage', 'a', 3, None, {}, last_at),
        ),
    )

    assert violated(ledger) == expected


def test_window_with_different_counts(ledger) -> None:
    ledger.provider_calls.append(REPORT)
    ledger.provider_calls.append(REPORT)
    assert not violated(ledger)

    ledger.provider_calls.append(
        dataclasses.replace(REPORT, counts_by_team={'team': 4}),
    )
    assert violated(ledger) == {'window once'}


@pytest.mark.parametrize(
    ('reported', 'expected'),
    [(1, set()), (9, {'usage'})],
)
def test_inaccurate_usage(ledger, reported, expected) -> None:
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

    assert violated(ledger) == expected


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
    assert violated(ledger) == {'usage'}

    ledger.calm = Span(0, TARGET_REQUEST.ran_at)
    assert not violated(ledger)


@pytest.mark.parametrize(
    ('left_at', 'expected'),
    [(98, {'leaving target'}), (98.2, set())],
)
def test_request_to_leaving_target(ledger, left_at, expected) -> None:
    ledger.left_at_by_target['i-1'] = left_at

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('disrupted', 'expected'), [('h', {'leaving target'}), ('other', set())]
)
def test_forwarded_request_to_a_leaving_target(
    ledger, disrupted, expected
) -> None:
    """A fault of the host that passed a request on excuses nothing."""
    ledger.left_at_by_target['i-1'] = 98
    change_target_request(ledger, sender=Sender('other', 1))
    disrupt(ledger, disrupted, 99)

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('planned', 'expected'),
    [(True, {'planned work'}), (False, set())],
)
def test_cut_during_planned_work(ledger, planned, expected) -> None:
    ledger.outcome_by_id['1'] = ConnectionCut('reset', 100.2)
    disrupt(ledger, 'h', 99, planned=planned)

    assert violated(ledger) == expected


def test_work_for_disconnected_callers(ledger) -> None:
    for number in range(20, 28):
        identity = str(number)
        record(
            ledger,
            dataclasses.replace(SENT, identity=identity),
            [target_request_of(identity, ended_at=102)],
            CallerLeft(100.3),
        )

    assert violated(ledger) == {'caller left'}


@pytest.mark.parametrize(('served', 'kept'), [(9, True), (8, False)])
def test_service_recovery(served, kept) -> None:
    ledger = Ledger()
    ledger.calm = Span(0, math.inf)
    for number in range(10):
        end = RESPONSE if number < served else ConnectionCut('reset', 100.2)
        identity = str(number)
        run = target_request_of(identity, ran_at=None)
        sent = dataclasses.replace(SENT, identity=identity)
        record(ledger, sent, [run], end)

    found = {violation.promise for violation in find_violations(ledger, BOUNDS)}

    assert ('recovery' not in found) is kept


def record_stream(ledger, *runs, began_as=None) -> None:
    """Record runs of one stream, each a version and a last event."""
    identity = '3'
    sent = dataclasses.replace(
        SENT, identity=identity, kind=RequestKind.RESUMABLE, began_as=began_as
    )
    taken = dataclasses.replace(TAKEN, identity=identity, service='llm')
    requests = [
        dataclasses.replace(
            TARGET_REQUEST,
            taken=dataclasses.replace(
                taken, version=version, resume_after=resume_after
            ),
        )
        for version, resume_after in runs
    ]
    record(ledger, sent, requests, Response(502, None, b'', 101))


@pytest.mark.parametrize(
    ('runs', 'expected'),
    [
        ([('v1', None), ('v1', '1')], set()),
        ([('v1', None), ('v2', None), ('v2', '1')], set()),
        ([('v1', None), ('v2', '1')], {'own version'}),
        ([('v1', None), ('v1', '1'), ('v2', '2')], {'own version'}),
    ],
)
def test_stream_that_goes_on_at_another_version(ledger, runs, expected) -> None:
    record_stream(ledger, *runs)

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('version', 'expected'), [('v1', set()), ('v2', {'own version'})]
)
def test_stream_that_is_taken_up_at_another_version(
    ledger, version, expected
) -> None:
    change_sent(ledger, kind=RequestKind.RESUMABLE)
    change_taken(ledger, version='v1', service='llm')
    ledger.outcome_by_id['1'] = Response(502, None, b'', 101)
    record_stream(ledger, (version, '2'), began_as='1')

    assert violated(ledger) == expected


@pytest.mark.parametrize(
    ('requests', 'expected'), [(11, set()), (12, {'named limit'})]
)
def test_requests_beyond_a_named_limit(ledger, requests, expected) -> None:
    change_taken(ledger, limit_per_s=1)
    for number in range(requests):
        identity = f'later-{number}'
        at = 104 + number / 10
        sent = dataclasses.replace(SENT, identity=identity, at=at)
        taken = dataclasses.replace(TAKEN, identity=identity, limit_per_s=1)
        later = dataclasses.replace(TARGET_REQUEST, taken=taken, at=at)
        record(ledger, sent, [later], RESPONSE)

    assert violated(ledger) == expected


def test_host_with_a_fault_may_not_know_of_a_limit(ledger) -> None:
    test_requests_beyond_a_named_limit(ledger, 11, set())
    disruption = Disruption('paused', frozenset(('h',)), False, 101, 102)
    ledger.disruptions.append(disruption)
    record_later(ledger, 104)

    assert 'named limit' not in violated(ledger)


@pytest.mark.parametrize(
    ('disrupted', 'expected'), [('h', {'named limit'}), ('other', set())]
)
def test_forwarded_requests_beyond_a_limit(ledger, disrupted, expected) -> None:
    """A fault of the host that passed requests on excuses nothing."""
    test_requests_beyond_a_named_limit(ledger, 12, {'named limit'})
    for arrivals in ledger.target_requests_by_id.values():
        arrivals[0].sender = Sender('other', 1)
    disrupt(ledger, disrupted, 100.5)

    assert violated(ledger) == expected
