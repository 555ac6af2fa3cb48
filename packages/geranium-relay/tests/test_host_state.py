"""A host's view of the catalogue, the targets and their load."""

import dataclasses

import geranium_relay as relay
import pytest

TARGET = relay.Target(
    identity='t',
    born_ms=1,
    service='s',
    address='10.0.0.1:80',
    zone='a',
    slots=6,
    leaving=False,
    reclaimable=False,
    stage=None,
    weights_version=None,
)
OTHER = dataclasses.replace(TARGET, identity='o', address='10.0.0.2:80')
PARTS = (
    relay.PromptPart('shared', 100),
    relay.PromptPart('own', 10),
)


def make_catalogue(version: int) -> relay.Catalogue:
    return relay.Catalogue(
        version=version,
        routes=(),
        services_by_name={},
        teams_by_key={},
        has_teams=True,
        limits=relay.Limits(1, 1, 1, 1),
    )


class Clock:
    def __init__(self) -> None:
        self.instant = 100.0

    def now(self) -> float:
        return self.instant


def test_lower_version_never_replaces_a_higher_one() -> None:
    clock = Clock()
    view = relay.CatalogueView(relay.FreshnessSettings(5), clock.now)

    assert view.accept(make_catalogue(7), 100)
    assert not view.accept(make_catalogue(6), 101)

    assert view.catalogue is not None
    assert view.catalogue.version == 7


def test_freshness_counts_from_before_the_call() -> None:
    clock = Clock()
    view = relay.CatalogueView(relay.FreshnessSettings(5, 0.4), clock.now)
    assert not view.is_fresh()
    view.accept(make_catalogue(1), 100)

    clock.instant = 104.5
    assert view.is_fresh()
    clock.instant = 104.7
    assert not view.is_fresh()
    view.confirm(104)
    assert view.is_fresh()


def test_missing_target_is_gone_at_once_while_the_list_is_readable() -> None:
    fleet = relay.Fleet(return_grace_s=2, outage_s=2.5)
    fleet.replace([TARGET, OTHER], 0)

    change = fleet.replace([OTHER], 0.7)

    assert change.gone == (TARGET,)
    assert fleet.of_service('s') == (OTHER,)


def test_missing_target_is_kept_for_a_while_after_an_outage() -> None:
    fleet = relay.Fleet(return_grace_s=2, outage_s=2.5)
    fleet.replace([TARGET, OTHER], 0)

    assert not fleet.replace([], 10).gone
    assert not fleet.replace([OTHER], 11.9).gone
    assert fleet.replace([OTHER], 12.1).gone == (TARGET,)


def test_restarted_target_counts_as_another() -> None:
    fleet = relay.Fleet(return_grace_s=2, outage_s=2.5)
    fleet.replace([TARGET], 0)
    restarted = dataclasses.replace(TARGET, born_ms=2)

    change = fleet.replace([restarted], 1)

    assert change.came == (restarted,)
    assert fleet.targets_by_identity['t'].key == 't@2'


def test_digest_is_independent_of_the_order_of_the_list() -> None:
    one = relay.Fleet(2, 2)
    other = relay.Fleet(2, 2)
    one.replace([TARGET, OTHER], 0)
    other.replace([OTHER], 0)
    assert one.digest != other.digest

    other.replace([OTHER, TARGET], 1)

    assert one.digest == other.digest
    other.replace([OTHER, dataclasses.replace(TARGET, leaving=True)], 2)
    assert one.digest != other.digest


def test_late_prompt_still_counts_as_queued() -> None:
    """A prefill that exceeds its estimate in a burst is still queued."""
    tracker = relay.LoadTracker(max_update_age_s=1)
    tracker.open(relay.Dispatch('t', 1, 1000, sent_at=0, expected_s=0.1))

    overdue = tracker.total_loads(5)['t']

    assert overdue.ahead_of(1) >= 500
    assert overdue.ahead_of(0) == 0


def test_load_of_silent_peers_is_left_out() -> None:
    tracker = relay.LoadTracker(max_update_age_s=1)
    load = relay.TargetLoad(3, (0, 0, 0, 0))
    tracker.update_peer('peer', {'t': load}, now=0)

    assert tracker.total_loads(0.5)['t'].running == 3
    assert 't' not in tracker.total_loads(2)


def test_prefix_is_cached_up_to_the_first_unknown_part() -> None:
    index = relay.PrefixCacheIndex(kv_tokens=1000)
    index.add('t', PARTS[:1])

    assert index.cached_tokens('t', PARTS) == 100
    assert index.cached_tokens('other', PARTS) == 0
    index.remove_target('t')
    assert index.cached_tokens('t', PARTS) == 0


def test_oldest_parts_are_evicted_when_the_cache_is_full() -> None:
    index = relay.PrefixCacheIndex(kv_tokens=1000)
    for number in range(20):
        index.add('t', (relay.PromptPart(f'p{number}', 100),))

    newest = (relay.PromptPart('p19', 100),)
    oldest = (relay.PromptPart('p0', 100),)
    assert index.cached_tokens('t', newest) == 100
    assert index.cached_tokens('t', oldest) == 0


def test_all_hosts_agree_on_a_home_and_few_prompts_move() -> None:
    engines = [
        dataclasses.replace(TARGET, identity=f't{number}')
        for number in range(8)
    ]
    prompts = [
        (relay.PromptPart(f'shared{number}', 100), PARTS[1])
        for number in range(200)
    ]
    homes = [relay.home_engine(prompt, engines) for prompt in prompts]
    shuffled = [
        relay.home_engine(prompt, tuple(reversed(engines)))
        for prompt in prompts
    ]
    without = [relay.home_engine(prompt, engines[1:]) for prompt in prompts]

    assert homes == shuffled
    moved = [home for home in homes if home not in without]
    kept = [home for home in homes if home != engines[0].key]
    assert set(moved) == {engines[0].key}
    assert kept == [
        home
        for home, old in zip(without, homes, strict=True)
        if old != engines[0].key
    ]
    assert relay.home_engine(PARTS[:1], engines) is None


@pytest.mark.parametrize(
    'chunks',
    [
        (b'id: 1\ndata: a\n\nid: 2\nda', b'ta: b\n\n'),
        (b'id: 1\r\ndata: a\r\n\r\n', b'id: 2\r\ndata: b\r\n\r\n'),
    ],
)
def test_only_complete_events_are_returned(chunks: tuple[bytes, ...]) -> None:
    framer = relay.EventFramer()

    returned = [framer.feed(chunk) for chunk in chunks]

    assert b''.join(returned) == b''.join(chunks)
    assert all(part.endswith(b'\n') for part in returned)
    assert framer.last_event_id == '2'
