"""What hosts tell each other, and what follows from it."""

import dataclasses

import geranium_relay as relay
import pytest
from geranium_policy.suspects import CrashNotice
from geranium_relay.peer_news import DispatchNotice, MalformedNewsError

OWN = relay.PeerIdentity('h2', 'a', '10.0.0.2:1', '10.0.0.2:2', 5)
KNOWN = relay.Knowledge(7, 0.25, 99, 0.5)


def make_news(host: str = 'h1', zone: str = 'a', **changes) -> relay.News:
    news = relay.News(
        sender=relay.PeerIdentity(host, zone, f'{host}:1', f'{host}:2', 1),
        ready=True,
        leaving=False,
        unix_s=1000,
        load_by_target={},
        dispatches=(),
        crashes=(),
        usage_by_window={},
        known=KNOWN,
    )
    return dataclasses.replace(news, **changes)


class Clock(relay.BootClock):
    def __init__(self) -> None:
        self.instant = 100.0

    def now(self) -> float:
        return self.instant


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def peers(clock: Clock) -> relay.Peers:
    log = relay.DecisionLog(relay.LogSettings(), print, clock.now)
    return relay.Peers(relay.PeerSettings(), OWN, clock, log)


def test_news_survive_their_encoding() -> None:
    news = make_news(
        load_by_target={2**60: relay.TargetLoad(3, (1, 2, 3, 4))},
        dispatches=(DispatchNotice(7, (relay.PromptPart('p', 9),)),),
        crashes=(CrashNotice(2**63, 't@1', 0.5, cleared=False),),
        usage_by_window={353: {'team': 12}},
    )

    assert relay.decode_news(relay.encode_news(news)) == news


@pytest.mark.parametrize('datagram', [b'', b'x', b'\xff' * 40])
def test_other_datagrams_are_refused(datagram: bytes) -> None:
    with pytest.raises(MalformedNewsError):
        relay.decode_news(datagram)


def test_silent_leaving_and_unready_hosts_get_no_callers(
    peers: relay.Peers,
    clock: Clock,
) -> None:
    peers.hear(make_news('h1'), 1000)
    peers.hear(make_news('h3', leaving=True), 1000)
    peers.hear(make_news('h4', ready=False), 1000)
    assert [peer.host for peer in peers.usable()] == ['h1']

    clock.instant += 5

    assert not peers.usable()
    assert peers.alive_count() == 1


def test_callers_are_sent_to_their_own_zone(peers: relay.Peers) -> None:
    directory = relay.Directory(relay.RegistrySettings(), peers)
    peers.hear(make_news('h1', 'a'), 1000)
    peers.hear(make_news('h3', 'b'), 1000)

    own_zone = directory.addresses('a', self_usable=True)
    thin_zone = directory.addresses('b', self_usable=True)

    assert own_zone == ['10.0.0.2:1', 'h1:1']
    assert thin_zone == ['10.0.0.2:1', 'h1:1', 'h3:1']


def test_true_time_follows_most_hosts(peers: relay.Peers) -> None:
    """One host's time of day was off by seconds when it started."""
    for host in ('h1', 'h3', 'h4'):
        peers.hear(make_news(host, unix_s=1002.4), 1000)
    peers.hear(make_news('h5', unix_s=990), 1000)

    assert peers.time_step_s() == pytest.approx(2.4)


def test_time_of_one_wrong_host_changes_nothing(peers: relay.Peers) -> None:
    peers.hear(make_news('h1', unix_s=1002.4), 1000)
    for host in ('h3', 'h4'):
        peers.hear(make_news(host), 1000)

    assert peers.time_step_s() == 0


class TestSharedReadings:
    """Hosts spare themselves what others have just read."""

    @pytest.fixture
    def own(self) -> relay.StoreKnowledge:
        return relay.StoreKnowledge(7, 90, 99, 90)

    @pytest.fixture
    def shared(
        self,
        peers: relay.Peers,
        clock: Clock,
        own: relay.StoreKnowledge,
    ) -> relay.SharedReadings:
        settings = relay.SharedReadingSettings(2, 0)
        return relay.SharedReadings(settings, peers, lambda: own, clock.now)

    def test_same_knowledge_is_confirmed_as_of_the_readers_call(
        self,
        shared: relay.SharedReadings,
    ) -> None:
        shared.hear(make_news())

        assert shared.catalogue_at() == 99.75
        assert shared.targets_at() == 99.5
        assert not shared.catalogue_differs.is_set()
        assert not shared.targets_differ.is_set()

    def test_other_knowledge_confirms_nothing_and_asks_for_a_reading(
        self,
        shared: relay.SharedReadings,
    ) -> None:
        shared.hear(make_news(known=relay.Knowledge(8, 0, 98, 0)))

        assert shared.catalogue_at() < 0
        assert shared.targets_at() < 0
        assert shared.catalogue_differs.is_set()
        assert shared.targets_differ.is_set()

    def test_what_lags_behind_is_left(
        self,
        shared: relay.SharedReadings,
    ) -> None:
        shared.hear(make_news(known=relay.Knowledge(6, 0, 98, 20)))

        assert not shared.catalogue_differs.is_set()
        assert not shared.targets_differ.is_set()

    def test_two_hosts_of_a_zone_read(
        self,
        shared: relay.SharedReadings,
        peers: relay.Peers,
    ) -> None:
        peers.hear(make_news('h0', 'a'), 1000)
        peers.hear(make_news('h1', 'b'), 1000)
        assert shared.is_reader()

        peers.hear(make_news('h1a', 'a'), 1000)

        assert not shared.is_reader()
