"""What builds send each other and store stays readable both ways."""

import json
import pathlib
from typing import Any

import geranium_coordination as coordination
import geranium_relay as relay
import pytest
from geranium_coordination.membership import Membership
from geranium_relay.peer_forwarding.call_codec import decode_call
from geranium_relay.peer_forwarding.frame_codec import decode_frame
from geranium_relay.peer_updates import decode_peer_update

from . import build_samples as samples
from .later_schemas import FORWARDING, PACKAGE, insert_lines, load_schema
from .schema_changes import harmful_changes

FOLDERS = sorted((pathlib.Path(__file__).parent / 'builds').iterdir())
BUILDS = [folder.name for folder in FOLDERS]
SCHEMAS = {path.name: path for path in PACKAGE.rglob('*.capnp')}
MESSAGES = samples.encode_all()
OPERATION = 'operation'  # a random number of each write


@pytest.fixture(params=FOLDERS, ids=BUILDS)
def folder(request: pytest.FixtureRequest) -> pathlib.Path:
    """The samples of an older build."""
    found: pathlib.Path = request.param
    return found


@pytest.fixture
def documents(folder: pathlib.Path) -> dict[str, Any]:
    """What the older build has stored."""
    found: dict[str, Any] = json.loads((folder / samples.DOCUMENTS).read_text())
    return found


async def make_store(
    documents: dict[str, Any],
) -> coordination.MemoryStore:
    store = coordination.MemoryStore()
    for key, body in documents.items():
        await store.write(key, body, coordination.Unconditional())
    return store


def read_as(schema: Any, name: str, encoded: bytes) -> dict[str, Any]:
    """Return a message as a build with a schema sees it."""
    if name.startswith('update'):
        update = schema.PeerUpdate.from_bytes_packed(encoded)
        return dict(update.to_dict(verbose=True))
    struct = schema.Call if name.startswith('call') else schema.Frame
    with struct.from_bytes(encoded) as message:
        return {'kind': message.which(), **message.to_dict(verbose=True)}


def test_there_are_samples_of_each_message(folder: pathlib.Path) -> None:
    stored = {path.stem for path in folder.glob('*.bin')}

    assert stored == set(MESSAGES)


@pytest.mark.parametrize('name', samples.UPDATES)
def test_update_of_an_older_build_is_read(
    folder: pathlib.Path, name: str
) -> None:
    encoded = (folder / f'{name}.bin').read_bytes()

    assert decode_peer_update(encoded) == samples.UPDATES[name]


@pytest.mark.parametrize('name', samples.REQUESTS)
def test_forwarded_request_of_an_older_build_is_read(
    folder: pathlib.Path, name: str
) -> None:
    encoded = (folder / f'{name}.bin').read_bytes()

    assert decode_call(encoded, samples.NOW) == samples.REQUESTS[name]


def test_question_of_an_older_build_is_read(folder: pathlib.Path) -> None:
    encoded = (folder / 'call_question.bin').read_bytes()

    assert decode_call(encoded, samples.NOW) == samples.QUESTION


@pytest.mark.parametrize('name', samples.FRAMES)
def test_frame_of_an_older_build_is_read(
    folder: pathlib.Path, name: str
) -> None:
    encoded = (folder / f'{name}.bin').read_bytes()

    assert decode_frame(encoded) == samples.FRAMES[name]


@pytest.mark.parametrize('name', MESSAGES)
def test_message_means_the_same_to_an_older_build(
    folder: pathlib.Path, name: str
) -> None:
    file_name = FORWARDING.name
    if name in samples.UPDATES:
        file_name = 'peers.capnp'
    schema = load_schema(folder / file_name)
    stored = (folder / f'{name}.bin').read_bytes()

    written = read_as(schema, name, MESSAGES[name])

    assert written == read_as(schema, name, stored)


def test_schemas_have_only_additions(folder: pathlib.Path) -> None:
    """A schema that the older build has is gone or changed; new ones may come."""
    older = sorted(folder.glob('*.capnp'))
    assert older
    for path in older:
        newer = load_schema(SCHEMAS[path.name])
        assert not harmful_changes(load_schema(path), newer)


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('host @0 :Text;\n  zone @1', 'zone @0 :Text;\n  host @1'),
        ('capacity @21 :UInt32', 'capacity @21 :UInt64'),
        ('capacity @21 :UInt32', 'strength @21 :UInt32'),
        ('loads @8 :List(Load)', 'loads @8 :List(Count)'),
        ('unixMs @7 :UInt64;', 'unixMs @7 :UInt64 = 1;'),
        ('  perS @1 :List(UInt32);\n  observedMs @2', '  observedMs @1'),
    ],
)
def test_harmful_change_of_the_updates_is_found(
    tmp_path: pathlib.Path, before: str, after: str
) -> None:
    path = SCHEMAS['peers.capnp']
    changed = path.read_text().replace(before, after)
    (tmp_path / path.name).write_text(changed)

    changes = harmful_changes(
        load_schema(path), load_schema(tmp_path / path.name)
    )

    assert changes


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('reached @1;\n  unreached @2', 'unreached @1;\n  reached @2'),
        ('  unreached @2;\n', ''),
        ('head @0 :Head;\n    data @1', 'data @0 :Data;\n    head @1'),
        ('question @1 :Text', 'question @1 :Data'),
    ],
)
def test_harmful_change_of_the_frames_is_found(
    tmp_path: pathlib.Path, before: str, after: str
) -> None:
    text = FORWARDING.read_text()
    assert before in text
    changed = text.replace(before, after)
    if 'head @1' in after:
        changed = changed.replace('head @1 :Data', 'head @1 :Head')
    (tmp_path / FORWARDING.name).write_text(changed)

    assert harmful_changes(
        load_schema(FORWARDING), load_schema(tmp_path / FORWARDING.name)
    )


def test_additions_are_harmless(tmp_path: pathlib.Path) -> None:
    changed = insert_lines(
        FORWARDING.read_text(),
        (
            ('cutOff @4;', '  later @5;'),
            ('question @1 :Text;', '    later @2 :Text;'),
            ('prefilled @21 :Bool;', '  later @22 :Text;'),
        ),
    )
    (tmp_path / FORWARDING.name).write_text(changed)

    assert not harmful_changes(
        load_schema(FORWARDING), load_schema(tmp_path / FORWARDING.name)
    )


def test_hosts_of_all_builds_compute_the_same(folder: pathlib.Path) -> None:
    text = (folder / samples.AGREEMENTS).read_text()

    assert samples.agreements() == json.loads(text)


async def test_documents_hold_what_an_older_build_reads(
    documents: dict[str, Any],
) -> None:
    written = await samples.write_documents()

    assert written.keys() == documents.keys()
    for key, body in documents.items():
        expected = {name: body[name] for name in body if name != OPERATION}
        assert {name: written[key][name] for name in expected} == expected
        # Older builds read a host only if it has exactly their fields.
        if key.startswith('hosts/'):
            assert written[key] == body


async def test_host_of_an_older_build_is_read(
    documents: dict[str, Any],
) -> None:
    log = samples.make_log()
    own = relay.PeerIdentity('own', 'a', '10.0.0.7:1', '10.0.0.7:2', 1)
    peers = relay.Peers(relay.PeerSettings(), own, samples.Clock(), log)
    registry = relay.HostRegistry(
        relay.RegistrySettings(), await make_store(documents), peers, log
    )

    await samples.run_briefly(registry.run())

    assert samples.OWN in peers.recipients()


async def test_counts_of_an_older_build_are_reported(
    documents: dict[str, Any],
) -> None:
    counts = {
        key: body
        for key, body in documents.items()
        if not key.startswith('usage/seals/')
    }
    port = samples.AcceptingPort()

    duty = samples.make_usage_duty(await make_store(counts), port)
    await samples.run_briefly(duty.run(samples.HeldLease()))

    assert port.counts_by_window[samples.WINDOW] == samples.TEAMS


async def test_seal_of_an_older_build_is_reported(
    documents: dict[str, Any],
) -> None:
    seals = {
        key: body
        for key, body in documents.items()
        if not key.startswith('usage/counts/')
    }
    store = await make_store(seals)
    await store.write(
        'usage/counts/h9.1',
        {str(samples.WINDOW): {'team-a': 1}},
        coordination.Unconditional(),
    )
    port = samples.AcceptingPort()

    duty = samples.make_usage_duty(store, port)
    await samples.run_briefly(duty.run(samples.HeldLease()))

    assert port.counts_by_window[samples.WINDOW] == samples.TEAMS


async def test_version_record_of_an_older_build_is_read(
    documents: dict[str, Any],
) -> None:
    records = samples.make_version_records(await make_store(documents), 'v1')

    assert await records.may_have_begun_elsewhere('service', 'v1')


async def test_lease_of_an_older_build_is_read(
    documents: dict[str, Any],
) -> None:
    membership = Membership(
        await make_store(documents),
        relay.BootClock(),
        coordination.SessionSettings(),
        coordination.LeaseSettings(),
    )
    await membership.refresh()

    view = membership.view
    held, vacant = (
        view.leases_by_duty[duty] for duty in ('operations', 'vacant')
    )
    body = documents['coordination/leases/operations']
    assert (held.epoch, held.host) == (body['epoch'], 'h1')
    assert view.sessions_by_identity[held.session].host == 'h1'
    assert not membership.is_free(held)
    assert membership.is_free(vacant)
