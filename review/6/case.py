"""An entry of another writer, as long as an entry may be, in the list."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
VALUE_BYTES = 1_048_576
WATCHED_S = 30.0
TIMEOUT_S = 1.0  # of the route
LATE_S = 0.5


def saved_list(size: int) -> bytes:
    """Return what a faulty script saved of a list: no JSON, since of None."""
    one = '{{"metadata":{{"name":"i-{0}","revision":{1}}},"spec":None}}'
    saved: list[str] = []
    length = 0
    while length < size - 100:
        place = len(saved)
        saved.append(one.format(f'{place:05d}', 100 + place))
        length += len(saved[-1]) + 1
    return ('[' + ','.join(saved) + ']').encode()


async def send(
    stage: stages.Stage,
    host: stages.HostProcess,
    identity: str,
    outcomes: dict[str, float | None],
) -> None:
    """Send a request; note after how long it was answered, if it was."""
    headers = {
        'Request-Id': identity,
        'Authorization': 'Bearer key1',
        'Deadline-Ms': '2000',
    }
    sent_at = stage.record.now()
    outcomes[identity] = None
    status = None
    with contextlib.suppress(OSError, TimeoutError):
        answer = await stages.ask(
            host.front, 'GET', '/safe/x', headers, wait_s=2
        )
        status = answer.status
        outcomes[identity] = stage.record.now() - sent_at
    stage.record.line(
        'answer',
        host=host.name,
        request=identity,
        status=status,
        took_s=round(stage.record.now() - sent_at, 3),
    )


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Write the entry, and count the requests without an answer."""
    routes = [stages.route('safe', 'safe', 'app')]
    configuration = stages.configuration(1, routes, {'t1': ['key1']})
    stage.store.put('config', 'main', configuration)
    for number, zone in enumerate(ZONES):
        server = stages.AppServer(f'j-{number}', 'app', stage.record)
        await stage.add_server(server, zone, 100 + number)
    await stage.add_hosts(ZONES)
    await asyncio.sleep(3)
    # An entry of the same form is there without the trouble too, but short.
    saved = saved_list(VALUE_BYTES if troubled else 1000)
    stage.store.put_bytes('servers', 'i-saved', saved)
    stage.record.line('entry_written', length=len(saved))
    written_at = stage.record.now()
    outcomes: dict[str, float | None] = {}
    sending: set[asyncio.Task[None]] = set()
    number = 0
    while stage.record.now() < written_at + WATCHED_S:
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        task = asyncio.create_task(send(stage, host, f'r{number}', outcomes))
        sending.add(task)
        await asyncio.sleep(0.1)
    await asyncio.gather(*sending)
    open_at_timeout = [
        took_s
        for took_s in outcomes.values()
        if took_s is None or took_s > TIMEOUT_S
    ]
    unanswered = sum(
        took_s is None or took_s > TIMEOUT_S + LATE_S
        for took_s in open_at_timeout
    )
    stage.record.line(
        'result',
        sent=len(outcomes),
        open_at_timeout=len(open_at_timeout),
        unanswered_later=unanswered,
    )
    many = unanswered * 2 > len(open_at_timeout) and unanswered >= 20
    return stages.BROKEN if many else stages.HELD


stages.run_case(play, lambda record: stages.Stage(record, ZONES))
