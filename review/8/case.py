"""A withdrawn key at a machine that was frozen while it was withdrawn."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
HOSTS_IN_ZONE = 6
FREEZE_S = 6.4
REVOKED_AFTER_S = 1.0  # after the freeze began
CONNECTIONS = 8
FIRST_SENT_S = 5.05  # after the acknowledgement, first of these requests
REVOKE_S = 5.0
ROUNDS = 7
KEYS = tuple(f'key{number}' for number in range(ROUNDS + 1))
BOUNDS = {'contactMs': 4000, 'configApplyMs': 3000, 'budgetSlack': 170}


def headers(identity: str, key: str) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        'Request-Id': identity,
        'Authorization': f'Bearer {key}',
        'Deadline-Ms': '1500',
    }


def choose_host(stage: stages.Stage) -> stages.HostProcess:
    """Return a host that leaves the store to the readers of its zone."""
    oldest = time.monotonic() - 4
    quiet = [
        host
        for host in stage.hosts
        if not any(
            at > oldest and 'watch=' in path
            for at, _method, path in host.door.calls
        )
    ]
    if not quiet:
        raise stages.NotRunError('all hosts watch the configuration')
    return quiet[0]


async def freeze_once(
    stage: stages.Stage, host: stages.HostProcess, place: int, *, troubled: bool
) -> dict[str, float]:
    """Freeze a machine, withdraw a key, and use the key as it wakes.

    Returns when the requests were sent that are later than ``revokeMs``, by
    their ids.
    """
    connections = [
        await stages.Connection.open(host.front) for _ in range(CONNECTIONS)
    ]
    key = KEYS[place]
    for number, connection in enumerate(connections):
        connection.send('/safe/x', headers(f'before{place}.{number}', key))
        answer = await connection.answer(3)
        if answer.status != 200:
            raise stages.NotRunError(f'status {answer.status} before')
    if troubled:
        host.signal(signal.SIGSTOP)
    frozen_at = stage.record.now()
    await asyncio.sleep(REVOKED_AFTER_S)
    put_keys(stage, KEYS[place + 1 :])
    revoked_at = stage.record.now()
    stage.record.line('key_withdrawn', key=key)
    await asyncio.sleep(FIRST_SENT_S)
    sent_at_by_id = {}
    for number, connection in enumerate(connections):
        identity = f'after{place}.{number}'
        connection.send('/safe/x', headers(identity, key))
        sent_at_by_id[identity] = stage.record.now()
        stage.record.line('sent', host=host.name, request=identity, key=key)
        await asyncio.sleep(0.02)
    await asyncio.sleep(frozen_at + FREEZE_S - stage.record.now())
    if troubled:
        host.signal(signal.SIGCONT)
    for number, connection in enumerate(connections):
        status = None
        with contextlib.suppress(TimeoutError):
            status = (await connection.answer(3)).status
        stage.record.line(
            'answer', request=f'after{place}.{number}', status=status
        )
        connection.close()
    return {
        identity: at
        for identity, at in sent_at_by_id.items()
        if at > revoked_at + REVOKE_S
    }


def put_keys(stage: stages.Stage, keys: tuple[str, ...]) -> None:
    """Write a configuration with these keys."""
    routes = [stages.route('safe', 'safe', 'app')]
    version = 1 + 3 * (len(KEYS) - len(keys))
    configuration = stages.configuration(version, routes, {'t1': list(keys)})
    stage.store.put('config', 'main', configuration)


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Freeze several machines, one after the other."""
    put_keys(stage, KEYS)
    server = stages.AppServer('i-0', 'app', stage.record)
    await stage.add_server(server, 'a', 100)
    await stage.add_hosts(ZONES * HOSTS_IN_ZONE)
    await asyncio.sleep(8)
    late: dict[str, float] = {}
    for place in range(ROUNDS):
        host = choose_host(stage)
        late |= await freeze_once(stage, host, place, troubled=troubled)
        await asyncio.sleep(5)
    broken = sorted(
        identity
        for _at, identity, _path, _team in server.runs
        if identity in late
    )
    stage.record.line(
        'result',
        rounds=ROUNDS,
        sent_late=len(late),
        run_with_withdrawn_key=broken,
    )
    return stages.BROKEN if broken else stages.HELD


stages.run_case(play, lambda record: stages.Stage(record, ZONES, BOUNDS))
