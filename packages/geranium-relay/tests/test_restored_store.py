"""What a host keeps when the store comes back from an older copy."""

import asyncio
import contextlib
import dataclasses

import geranium_relay as relay
import pytest
from geranium_coordination import (
    ABSENT_VERSION,
    MemoryStore,
    Unconditional,
    make_version,
)

from .test_duties import (
    SETTINGS,
    WINDOW,
    FakeCloud,
    FakeClusterClock,
    FakeLease,
)
from .test_host_state import OTHER, TARGET, Clock, make_catalogue
from .test_peer_updates import make_update

COUNTS_KEY = 'usage/counts/h1'
SEAL_KEY = f'usage/seals/{WINDOW}'
ENTRY_KEY = 'hosts/h2'
MAX_KEY_AGE_S = 5
WAIT_S = 20


class Reporter:
    """A host that holds the duty to report usage."""

    def __init__(self, store: MemoryStore, first_era: int = 0) -> None:
        self.lines: list[str] = []
        self.cloud = FakeCloud()
        log = relay.DecisionLog(
            relay.LogSettings(), self.lines.append, relay.BootClock().now
        )
        self.peer_usage = relay.PeerUsage(SETTINGS, lambda: first_era)
        self.duty = relay.UsageDuty(
            SETTINGS,
            store,
            self.peer_usage,
            self.cloud,
            FakeClusterClock(),
            log,
        )

    async def run(self, lease: FakeLease | None = None) -> list[object]:
        """Hold the duty for a while; return the figures of the window."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await self.duty.run(lease or FakeLease())
        return [
            counts
            for window, counts, _ in self.cloud.reports
            if window == WINDOW
        ]


@pytest.fixture
async def store() -> MemoryStore:
    store = MemoryStore()
    body = {str(WINDOW): {'team': 7}}
    await store.write(COUNTS_KEY, body, Unconditional())
    return store


class TestUsage:
    async def test_lost_seal_does_not_change_the_figure(self, store) -> None:
        reporter = Reporter(store)
        saved = store.save_copy()
        assert await reporter.run() == [{'team': 7}]
        store.restore_copy(saved)
        body = {str(WINDOW): {'team': 3}}
        await store.write(COUNTS_KEY, body, Unconditional())

        figures = await reporter.run()

        assert figures == [{'team': 7}, {'team': 7}]

    async def test_window_sealed_by_another_host_is_left_out(
        self, store
    ) -> None:
        """Its holder told its peers and was killed; the seal is lost."""
        other = Reporter(store)
        other.peer_usage.sealed.record_peer(WINDOW)

        assert not await other.run()
        assert any('windows_left_out' in line for line in other.lines)

    async def test_seal_that_is_still_there_is_reported(self, store) -> None:
        await store.write(SEAL_KEY, {'team': 5}, Unconditional())
        other = Reporter(store)
        other.peer_usage.sealed.record_peer(WINDOW)

        assert await other.run() == [{'team': 5}]

    @pytest.mark.parametrize(('first_era', 'reports'), [(2, 0), (1, 1)])
    async def test_process_younger_than_the_restore_leaves_ended_windows_out(
        self, store, first_era, reports
    ) -> None:
        """Nobody who lived before the restore can tell it of seals."""
        lease = FakeLease()
        lease.previous_era = 1
        lease.epoch = make_version(2, 5)

        found = await Reporter(store, first_era).run(lease)

        assert len(found) == reports

    async def test_counts_are_written_again(self) -> None:
        clock = relay.ClusterClock(relay.BootClock())
        counter = relay.UsageCounter(SETTINGS, clock)
        counter.count('team')
        clock.adjust(SETTINGS.window_s)
        store = MemoryStore()
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        writer = relay.UsageWriter(SETTINGS, counter, store, log, 'h1')
        running = asyncio.create_task(writer.run())

        writer.request_write()

        assert await store.watch(COUNTS_KEY, ABSENT_VERSION, WAIT_S)
        running.cancel()


class TestCatalogue:
    @pytest.fixture
    def clock(self) -> Clock:
        return Clock()

    @pytest.fixture
    def view(self, clock) -> relay.CatalogueView:
        return relay.CatalogueView(
            relay.FreshnessSettings(MAX_KEY_AGE_S, 0), clock.now
        )

    def test_older_version_of_a_running_host_expires(self, view, clock) -> None:
        """A peer has a version in which a key is withdrawn."""
        view.accept(make_catalogue(5), 100)
        clock.instant = 200
        view.confirm(200)
        view.record_peer_version(6)

        clock.instant = 204
        view.confirm(204)
        assert view.is_fresh()
        clock.instant = 206
        view.confirm(206)

        assert not view.is_fresh()
        view.accept(make_catalogue(6), 206)
        assert view.is_fresh()

    def test_first_version_of_a_started_host_admits_no_key(self, view) -> None:
        view.accept(make_catalogue(5), 100)

        view.record_peer_version(6)

        assert not view.is_fresh()
        view.accept(make_catalogue(6), 100)
        assert view.is_fresh()

    def test_started_host_waits_for_its_peers(self, view, clock) -> None:
        view.await_peers(101)
        view.accept(make_catalogue(5), 100)
        assert not view.is_fresh()

        view.record_peer_version(5)
        assert view.is_fresh()

    def test_started_host_without_peers_waits_for_a_moment(
        self, view, clock
    ) -> None:
        view.await_peers(101)
        view.accept(make_catalogue(5), 100)

        clock.instant = 101.1

        assert view.is_fresh()


class TestTargets:
    def test_entries_that_the_copy_lacks_are_kept_for_a_while(self) -> None:
        fleet = relay.Fleet(return_grace_s=2, outage_s=2.5)
        fleet.replace([TARGET, OTHER], 0)

        fleet.keep_missing(0.7)

        assert not fleet.replace([OTHER], 0.7).gone
        assert fleet.replace([OTHER], 2.8).gone == (TARGET,)

    @pytest.fixture
    def notices(self) -> relay.TargetNotices:
        clock = Clock()
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        limits = relay.TargetRateLimits(
            'h1', lambda _key: {}, clock.now, clock.now, log
        )
        return relay.TargetNotices(clock.now, log, limits)

    def test_leaving_target_is_not_ready_again(self, notices) -> None:
        leaving = dataclasses.replace(TARGET, leaving=True)

        notices.record_list_change(relay.FleetChange((), (), (leaving,)))

        assert not notices.accepts_requests(TARGET.key)
        restarted = dataclasses.replace(TARGET, born_ms=2)
        assert notices.accepts_requests(restarted.key)

    def test_gone_target_of_the_copy_is_held_back(self, notices) -> None:
        """The copy lists it until the store removes its entry again."""
        notices.record_list_change(relay.FleetChange((), (TARGET,), ()))
        assert notices.accepts_requests(TARGET.key)

        notices.hold_gone_targets()

        assert not notices.accepts_requests(TARGET.key)
        assert notices.accepts_requests(OTHER.key)


class TestSharedReads:
    @pytest.mark.parametrize(('era', 'reads'), [(1, False), (3, True)])
    def test_other_era_confirms_nothing(self, era, reads) -> None:
        clock = Clock()
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        own = relay.PeerIdentity('h2', 'a', 'h2:1', 'h2:2', 1)
        peers = relay.Peers(relay.PeerSettings(), own, clock, log)
        state = relay.StoreState(7, 90, 99, 90, era=2)
        shared = relay.SharedReads(
            relay.SharedReadSettings(), peers, lambda: state, clock.now
        )
        known = relay.AdvertisedStoreState(7, 0, 99, 0, era)

        shared.handle_update(make_update(known=known))

        assert shared.catalogue_at() < 0
        assert shared.targets_at() < 0
        assert shared.catalogue_differs.is_set() is reads
        assert shared.targets_differ.is_set() is reads


class TestHosts:
    async def test_host_enters_itself_again(self) -> None:
        clock = relay.BootClock()
        log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
        own = relay.PeerIdentity('h2', 'a', 'h2:1', 'h2:2', 1)
        peers = relay.Peers(relay.PeerSettings(), own, clock, log)
        store = MemoryStore()
        saved = store.save_copy()
        registry = relay.HostRegistry(
            relay.RegistrySettings(), store, peers, log
        )
        running = asyncio.create_task(registry.run())
        assert await store.watch(ENTRY_KEY, ABSENT_VERSION, WAIT_S)

        store.restore_copy(saved)
        registry.request_registration()

        assert await store.watch(ENTRY_KEY, ABSENT_VERSION, WAIT_S)
        running.cancel()
