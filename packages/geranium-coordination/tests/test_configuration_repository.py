"""The configuration is stored in segments; each change is a version."""

import asyncio

import geranium_coordination as coordination
import pytest
from geranium_coordination import (
    ChangeAccepted,
    ChangeConflict,
    ChangeRejected,
    ConfigurationRepository,
    ConfigurationSettings,
    LoadedConfiguration,
    decode_delta,
    encode_delta,
)

from .config_documents import (
    adding_team,
    document_of,
    replacing_with,
    withdrawing,
)
from .config_store import Faults, Schedule, ScheduledStore


class UnresponsiveStore(ScheduledStore):
    """Loses the response to every write of the manifest."""

    async def write(self, key, body, condition):
        if key.endswith('manifest'):
            raise coordination.AnswerLostError('lost')
        return await super().write(key, body, condition)


def run(schedule, *coroutines):
    answers = asyncio.run(_run(schedule, coroutines))
    return answers[0] if len(answers) == 1 else answers


async def _run(schedule, coroutines):
    return await schedule.run(*coroutines)


@pytest.fixture
def schedule():
    return Schedule()


@pytest.fixture
def store(schedule):
    return ScheduledStore(schedule)


def make(store, schedule, **settings):
    return ConfigurationRepository(
        store,
        ConfigurationSettings(**settings),
        schedule,
    )


def test_loaded_document_is_the_one_that_was_stored(store, schedule):
    wanted = document_of(teams=300, keys_per_team=2, targets=40)
    change = make(store, schedule).change(replacing_with(wanted), 'op-1', 'ann')
    assert run(schedule, change) == ChangeAccepted(1)
    loaded = run(schedule, make(store, schedule).load())
    assert set(loaded.document().keys) == set(wanted.keys)
    assert set(loaded.document().targets) == set(wanted.targets)
    assert loaded.document().services == wanted.services
    assert len(loaded.configuration.keys_by_sha256) == 600
    assert loaded.configuration.version == 1


def test_reload_fetches_the_manifest_and_changed_segments_only(store, schedule):
    writer = make(store, schedule)
    first = replacing_with(document_of(teams=300))
    run(schedule, writer.change(first, 'op-1', 'ann'))
    reader = make(store, schedule)
    known = run(schedule, reader.load())
    run(schedule, writer.change(adding_team('late'), 'op-2', 'ann'))
    before = store.counts['read']
    loaded = run(schedule, reader.load(known))
    assert store.counts['read'] - before == 2
    assert 'late' in loaded.configuration.teams_by_name
    assert len(loaded.configuration.teams_by_name) == 301


def test_withdrawn_key_is_removed_from_the_configuration(store, schedule):
    writer = make(store, schedule)
    document = document_of(teams=20)
    digest = document.keys[7].sha256
    run(schedule, writer.change(replacing_with(document), 'op-1', 'ann'))
    known = run(schedule, make(store, schedule).load())
    run(schedule, writer.change(withdrawing(digest), 'op-2', 'ann'))
    loaded = run(schedule, make(store, schedule).load(known))
    assert digest in known.configuration.keys_by_sha256
    assert digest not in loaded.configuration.keys_by_sha256
    assert len(loaded.configuration.keys_by_sha256) == 19


def test_resent_operation_returns_the_same_version(store, schedule):
    writer = make(store, schedule)
    other = make(store, schedule)
    run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    run(schedule, writer.change(adding_team('two'), 'op-2', 'ann'))
    again = run(schedule, other.change(adding_team('one'), 'op-1', 'ann'))
    assert again == ChangeAccepted(1)
    assert run(schedule, other.load()).version == 2


def test_concurrent_changes_get_one_success_and_one_conflict(store, schedule):
    outcomes = run(
        schedule,
        make(store, schedule).change(
            adding_team('one'), 'op-1', 'ann', 'adds one', expected_version=0
        ),
        make(store, schedule).change(
            adding_team('two'), 'op-2', 'ben', 'adds two', expected_version=0
        ),
    )
    accepted = ChangeAccepted(1)
    assert outcomes in (
        [accepted, ChangeConflict(1, 'ann', 'op-1', 'adds one')],
        [ChangeConflict(1, 'ben', 'op-2', 'adds two'), accepted],
    )


def test_change_without_expected_version_applies_to_the_newest(store, schedule):
    outcomes = run(
        schedule,
        make(store, schedule).change(adding_team('one'), 'op-1', 'ann'),
        make(store, schedule).change(adding_team('two'), 'op-2', 'ben'),
    )
    assert {outcome.version for outcome in outcomes} == {1, 2}
    loaded = run(schedule, make(store, schedule).load())
    assert set(loaded.configuration.teams_by_name) == {'one', 'two'}


def test_invalid_document_is_rejected_with_its_location(store, schedule):
    writer = make(store, schedule)
    run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    outcome = run(schedule, writer.change(adding_team('one'), 'op-2', 'ann'))
    assert outcome == ChangeRejected(("teams[1]: 'one' stands twice",))
    assert run(schedule, writer.load()).version == 1


def test_segment_over_the_limit_is_rejected(store, schedule):
    writer = make(store, schedule, segment_limit_bytes=1000)
    wanted = replacing_with(document_of(teams=1, keys_per_team=20))
    outcome = run(schedule, writer.change(wanted, 'op-1', 'ann'))
    assert isinstance(outcome, ChangeRejected)


def test_outage_is_distinguished_from_an_unknown_outcome(store, schedule):
    writer = make(store, schedule)
    schedule.faults = Faults(refused=1)
    outcome = run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    assert isinstance(outcome, coordination.ConfigurationUnavailableError)
    schedule.faults = Faults()
    loading = run(schedule, writer.load())
    assert loading.version == 0


def test_lost_response_to_the_manifest_write_is_unknown(schedule):
    writer = make(UnresponsiveStore(schedule), schedule)
    outcome = run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    assert isinstance(outcome, coordination.ChangeOutcomeUnknownError)


def test_replaced_segments_are_deleted_after_the_kept_versions(store, schedule):
    writer = make(store, schedule, kept_versions=2, team_buckets=1)
    for number in range(6):
        change = writer.change(
            adding_team(f'team-{number}'), f'op-{number}', 'a'
        )
        run(schedule, change)
    segments = [key for key in store.stored if key.startswith('config/seg')]
    assert len(segments) == 1 + 1 + 2
    assert run(schedule, make(store, schedule).load()).version == 6


def test_garbage_collection_keeps_segments_of_a_pending_change(store, schedule):
    writer = make(store, schedule)
    run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    orphan = {'origin': '0:op-0', 'content': {}}
    pending = {'origin': '1:op-2', 'content': {}}
    store._write('config/segments/aa', orphan, None)
    store._write('config/segments/bb', pending, None)
    assert run(schedule, writer.collect_garbage()) == 1
    assert 'config/segments/aa' not in store.stored
    assert 'config/segments/bb' in store.stored


def test_delta_updates_a_peer_to_the_same_version(store, schedule):
    writer = make(store, schedule)
    first = replacing_with(document_of(teams=50))
    run(schedule, writer.change(first, 'op-1', 'ann'))
    known = run(schedule, writer.load())
    run(schedule, writer.change(adding_team('late'), 'op-2', 'ann'))
    newest = run(schedule, writer.load())
    delta = decode_delta(encode_delta(newest.delta_since(known.version)))
    assert len(delta.segments) == 1
    applied = known.apply_delta(delta)
    assert applied.configuration == newest.configuration
    assert applied.segments_by_name == newest.segments_by_name
    assert applied.apply_delta(delta) is applied
    whole = LoadedConfiguration().apply_delta(newest.delta_since(0))
    assert whole.configuration == newest.configuration


def test_delta_carries_the_segments_that_were_emptied(store, schedule):
    writer = make(store, schedule)
    first = replacing_with(document_of(teams=20))
    run(schedule, writer.change(first, 'op-1', 'ann'))
    known = run(schedule, writer.load())
    less = replacing_with(document_of(teams=1))
    run(schedule, writer.change(less, 'op-2', 'ann'))
    newest = run(schedule, writer.load())
    applied = known.apply_delta(newest.delta_since(1))
    assert set(applied.configuration.teams_by_name) == {'team-0'}
    assert applied.configuration == newest.configuration


def test_delta_from_a_later_version_is_refused(store, schedule):
    writer = make(store, schedule)
    run(schedule, writer.change(adding_team('one'), 'op-1', 'ann'))
    newest = run(schedule, writer.load())
    with pytest.raises(coordination.StaleDeltaError):
        LoadedConfiguration().apply_delta(newest.delta_since(1))
    with pytest.raises(coordination.CorruptConfigurationError):
        decode_delta(b'')
