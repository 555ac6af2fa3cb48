"""Samples of all messages and stored documents.

    python build_samples.py FOLDER

writes them as the build whose packages are imported encodes them. The folders
under ``builds`` were written so from checkouts of the builds that they name.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import sys
import time
from collections.abc import Awaitable, Mapping

import geranium_coordination as coordination
import geranium_relay as relay
from geranium_coordination.duty_ranking import rank_of
from geranium_policy.crash_evidence import TargetReach
from geranium_policy.rate_shares import RateShareSettings, sharing_hosts
from geranium_policy.suspects import CrashNotice
from geranium_relay.peer_forwarding.call_codec import (
    encode_question,
    encode_request,
)
from geranium_relay.peer_forwarding.frame_codec import encode_frame
from geranium_relay.peer_forwarding.messages import (
    AliveFrame,
    DataFrame,
    EndFrame,
    Frame,
    HeadFrame,
    ReachFrame,
    ReachQuestion,
)
from geranium_relay.peer_updates import DispatchNotice, name_hash
from geranium_relay.run_context import fingerprints_of
from geranium_relay.zone_reports import HostReport, ZoneReport

NOW = 1000.0  # when calls are sent and received
WINDOW = 359
TEAMS = {'team-a': 7, 'team-b': 12}
VERSIONS = ('v1', 'v2')
DOCUMENTS = 'documents.json'
AGREEMENTS = 'agreements.json'
SETTLED_S = 0.3  # until the writers have written
LOAD = relay.TargetLoad(3, (10, 20, 30, 40))
LOADS = {2**60: LOAD, 9: LOAD}
HASH = 2**63 + 5
OWN = relay.PeerIdentity(
    host='h1',
    zone='zone-a',
    front='10.0.0.1:8080',
    address='10.0.0.1:7780',
    incarnation=2**41,
    capacity=900,
)
NEW_HOST = relay.PeerIdentity(
    host='h2',
    zone='zone-b',
    front='10.0.0.2:8080',
    address='10.0.0.2:7780',
    incarnation=2**41 + 1,
    capacity=800,
)
KNOWN = relay.AdvertisedStoreState(
    catalogue_version=7,
    catalogue_age_s=0.25,
    targets_digest=2**63 + 1,
    targets_age_s=0.5,
    era=3,
)


def make_target(
    identity: str,
    stage: relay.Stage | None,
    *,
    leaving: bool,
    weights_version: int | None,
) -> relay.Target:
    return relay.Target(
        identity=identity,
        born_ms=2**40,
        service='service',
        address='10.0.0.9:9000',
        zone='zone-a',
        slots=6,
        leaving=leaving,
        reclaimable=not leaving,
        stage=stage,
        weights_version=weights_version,
        software_version='v2',
    )


TARGETS = (
    make_target('t1', relay.Stage.PREFILL, leaving=False, weights_version=3),
    make_target('t2', relay.Stage.DECODE, leaving=True, weights_version=None),
    make_target('t3', None, leaving=False, weights_version=0),
)
CHANGES = (
    *(relay.TargetChange(target.identity, target) for target in TARGETS),
    relay.TargetChange('t4', None),
)
MINIMAL = relay.PeerUpdate(
    sender=OWN,
    ready=False,
    leaving=True,
    unix_s=1796396400.125,
    load_by_target={},
    dispatches=(),
    crashes=(),
    usage_by_window={},
    known=relay.AdvertisedStoreState(0, 0, 0, 0),
)
FULL = relay.PeerUpdate(
    sender=OWN,
    ready=True,
    leaving=False,
    unix_s=1796396400.125,
    load_by_target={2**60: LOAD},
    dispatches=(
        DispatchNotice(5, (relay.PromptPart('p1', 9),)),
        DispatchNotice(
            6, (relay.PromptPart('p2', 1), relay.PromptPart('p3', 2))
        ),
    ),
    crashes=(
        CrashNotice(2**63, 't1@1', 0.5, cleared=False),
        CrashNotice(1, 't2@1', 1.5, cleared=True),
    ),
    usage_by_window={WINDOW: TEAMS},
    known=KNOWN,
    target_changes=CHANGES,
    departures=(2**62, 8),
    rate_limits=(
        relay.AdvertisedRateLimit(2**62, 0.25, 1796396400123),
        relay.AdvertisedRateLimit(3, None, 5),
    ),
    origins=(relay.StreamOrigin(2**61, 'v2'), relay.StreamOrigin(5, 'v1')),
    sealed_through=WINDOW,
    unreached=(2**59, 4),
)
AGGREGATED = relay.PeerUpdate(
    sender=OWN,
    ready=True,
    leaving=False,
    unix_s=1796396400.125,
    load_by_target={},
    dispatches=(),
    crashes=(),
    usage_by_window={},
    known=KNOWN,
    report=ZoneReport(
        hosts=(
            HostReport(HASH, 0.25, ready=True, leaving=False),
            HostReport(2, 1.5, ready=True, leaving=True, unreached=(2**59, 4)),
            HostReport(3, 2.5, ready=False, leaving=False, unreached=(4,)),
        ),
        loads_by_host={HASH: LOADS, 3: {1: LOAD}},
        loads_sum=LOADS,
        new_hosts=(NEW_HOST,),
    ),
)
REQUEST = relay.ForwardedRequest(
    sender='h1',
    host='example',
    key='key',
    arrival=relay.IncomingRequest(
        identity='r1',
        method='POST',
        path='/path?q=1',
        headers=(('Name', 'text'), ('Other', 'caf\udce9')),
        body=b'\x00body',
        arrived_at=NOW,
        caller_deadline=NOW + 2.5,
        resume_after='id-3',
        prompt=relay.Prompt(
            30, 40, (relay.PromptPart('p1', 10), relay.PromptPart('p2', 20))
        ),
        began_as='r0',
    ),
    service='service',
    due_at=NOW - 0.5,
    progress=relay.RunProgress(
        sends=3, runs=2, first_recorded=True, counted=True, version='v2'
    ),
)
PLAIN_REQUEST = relay.ForwardedRequest(
    sender='h1',
    host='example',
    key=None,
    arrival=relay.IncomingRequest(
        identity='r1',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        arrived_at=NOW,
        caller_deadline=NOW + 1,
        resume_after=None,
        prompt=None,
    ),
    service='service',
    due_at=float('inf'),
    progress=relay.RunProgress(),
)
REFUSED = relay.Refused('engines busy', 0.25, elsewhere=True)
HEAD = relay.ResponseHead(206, (('Name', 'text'),), signed=True)
PLAIN_HEAD = relay.ResponseHead(500, (), signed=False)

QUESTION = ReachQuestion('t1@1')
UPDATES: Mapping[str, relay.PeerUpdate] = {
    'update_minimal': MINIMAL,
    'update_full': FULL,
    'update_aggregated': AGGREGATED,
}
REQUESTS: Mapping[str, relay.ForwardedRequest] = {
    'call_request': REQUEST,
    'call_plain_request': PLAIN_REQUEST,
}
FRAMES: Mapping[str, Frame] = {
    'frame_head': HeadFrame(HEAD, 'v2'),
    'frame_plain_head': HeadFrame(PLAIN_HEAD, None),
    'frame_data': DataFrame(b'\x00data'),
    'frame_alive': AliveFrame(),
    'frame_reach_unknown': ReachFrame(TargetReach.UNKNOWN),
    'frame_reach_reached': ReachFrame(TargetReach.REACHED),
    'frame_reach_unreached': ReachFrame(TargetReach.UNREACHED),
    'frame_end_delivered': EndFrame(relay.Delivered(206)),
    'frame_end_refused': EndFrame(REFUSED),
    'frame_end_failed': EndFrame(relay.Failed('broken')),
    'frame_end_timed_out': EndFrame(relay.TimedOut()),
    'frame_end_cut_off': EndFrame(relay.CutOff('broken')),
}


def encode_all() -> dict[str, bytes]:
    """Return all messages by name."""
    return {
        **{name: relay.encode_peer_update(it) for name, it in UPDATES.items()},
        **{name: encode_request(it, NOW) for name, it in REQUESTS.items()},
        'call_question': encode_question(QUESTION),
        **{name: encode_frame(it) for name, it in FRAMES.items()},
    }


class Clock(relay.BootClock):
    """A clock that reads the same time always."""

    def now(self) -> float:
        return NOW


class WindowTime:
    """The time just after a window."""

    def now(self) -> float:
        return (WINDOW + 1) * 5 + 2


class HeldLease:
    """A lease that is held until its task is cancelled."""

    epoch = 7
    previous_era = 0

    def is_held(self) -> bool:
        return True


class AcceptingPort:
    """Accepts all reports of usage."""

    def __init__(self) -> None:
        self.counts_by_window: dict[int, dict[str, int]] = {}

    async def report(
        self, window: int, counts_by_team: Mapping[str, int], epoch: int
    ) -> bool:
        self.counts_by_window[window] = dict(counts_by_team)
        return True


async def run_briefly(task: Awaitable[object]) -> None:
    """Run a task for as long as it needs to write."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLED_S):
            await task


def make_log() -> relay.DecisionLog:
    return relay.DecisionLog(relay.LogSettings(), str, time.monotonic)


def make_usage_duty(
    store: coordination.MemoryStore, port: AcceptingPort
) -> relay.UsageDuty:
    settings = relay.UsageSettings(5, 10)
    return relay.UsageDuty(
        settings,
        store,
        relay.PeerUsage(settings),
        port,
        WindowTime(),
        make_log(),
    )


def make_version_records(
    store: coordination.MemoryStore, *versions: str
) -> relay.VersionRecords:
    fleet = relay.Fleet(0, 30)
    targets = [
        dataclasses.replace(
            TARGETS[0], identity=version, software_version=version
        )
        for version in versions
    ]
    fleet.replace(targets, NOW)
    return relay.VersionRecords(
        relay.VersionRecordSettings(),
        store,
        fleet,
        Clock().now,
        make_log(),
    )


async def write_host(store: coordination.MemoryStore) -> None:
    log = make_log()
    peers = relay.Peers(relay.PeerSettings(), OWN, Clock(), log)
    settings = relay.RegistrySettings()
    await run_briefly(relay.HostRegistry(settings, store, peers, log).run())


async def write_usage(store: coordination.MemoryStore) -> None:
    settings = relay.UsageSettings(5, 10)
    counter = relay.UsageCounter(settings, WindowTime())
    counter.recent = lambda _through: {WINDOW: TEAMS, WINDOW - 1: {'x': 1}}
    writer = relay.UsageWriter(settings, counter, store, make_log(), 'h1.5')
    await writer.write(WINDOW)
    duty = make_usage_duty(store, AcceptingPort())
    await run_briefly(duty.run(HeldLease()))


async def write_versions(store: coordination.MemoryStore) -> None:
    records = make_version_records(store, *VERSIONS)
    await run_briefly(records.run(HeldLease()))


async def write_leases(store: coordination.MemoryStore) -> None:
    source = random.Random(1)
    session = coordination.Session(
        store, relay.BootClock(), coordination.SessionSettings(), 'h1', source
    )
    await session.open()
    leases = coordination.Leases(
        store, relay.BootClock(), coordination.LeaseSettings(), source
    )
    await leases.acquire(await leases.create('operations'), session)
    await leases.create('vacant')


async def write_documents() -> dict[str, object]:
    """Return the documents that the writers have stored, by key."""
    store = coordination.MemoryStore()
    await write_host(store)
    await write_usage(store)
    await write_versions(store)
    await write_leases(store)
    return {found.key: found.body for found in await store.read_prefix('')}


def agreements() -> dict[str, object]:
    """Return what hosts compute alike, each for itself."""
    hosts = [f'host-{number}' for number in range(9)]
    fleet = relay.Fleet(0, 30)
    fleet.replace(TARGETS, NOW)
    fingerprints = fingerprints_of(
        REQUEST.arrival, relay.Team('team', None), 'service'
    )
    return {
        'hash of a name': name_hash('t1@1'),
        'digest of a list of targets': fleet.digest,
        'hosts that share a limit': sharing_hosts(
            1,
            't1@1',
            dict.fromkeys(hosts, False),
            RateShareSettings(),
        ),
        'ranks of hosts for a duty': [
            rank_of('operations', host, hosts) for host in hosts
        ],
        'fingerprints of a request': [
            fingerprints.request,
            *fingerprints.parts,
        ],
        'version of a revision in an era': coordination.make_version(3, 5),
        'window of a time': int(NOW // relay.UsageSettings(5, 10).window_s),
    }


def write_json(path: pathlib.Path, content: object) -> None:
    text = json.dumps(content, indent=2, sort_keys=True)
    path.write_text(f'{text}\n')


def main(folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, encoded in encode_all().items():
        (folder / f'{name}.bin').write_bytes(encoded)
    documents = asyncio.run(write_documents())
    write_json(folder / DOCUMENTS, documents)
    write_json(folder / AGREEMENTS, agreements())
    package = pathlib.Path(relay.__file__).parent
    for schema in package.rglob('*.capnp'):
        (folder / schema.name).write_bytes(schema.read_bytes())


if __name__ == '__main__':
    main(pathlib.Path(sys.argv[1]))
