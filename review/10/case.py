"""Ids of requests with bytes above 0x7f."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
LETTERS = ('\xe0', '\xe8', '\xe9', '\xf4')
PLAIN = ('a', 'b', 'c', 'd')


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Send orders, and compare their ids with those that servers run."""
    routes = [stages.route('unsafe', 'unsafe', 'app')]
    configuration = stages.configuration(1, routes, {'t1': ['key1']})
    stage.store.put('config', 'main', configuration)
    server = stages.AppServer('i-0', 'app', stage.record)
    await stage.add_server(server, 'a', 100)
    await stage.add_hosts(ZONES)
    await asyncio.sleep(2)
    sent = set()
    for number, letter in enumerate(LETTERS if troubled else PLAIN):
        identity = f'commande-{letter}'
        # What the server reads is text in which such bytes are marked.
        sent.add(identity.encode('latin-1').decode(errors='surrogateescape'))
        headers = {
            'Request-Id': identity,
            'Authorization': 'Bearer key1',
            'Deadline-Ms': '1000',
        }
        host = stage.hosts[number % len(stage.hosts)]
        answer = await stages.ask(
            host.front, 'POST', '/unsafe/order', headers, b'paid', wait_s=2
        )
        stage.record.line(
            'answer',
            host=host.name,
            request=ascii(identity),
            status=answer.status,
            signed=answer.signed,
        )
    unknown = [
        identity
        for _at, identity, _path, _team in server.runs
        if identity not in sent
    ]
    stage.record.line(
        'result', sent=len(sent), run=len(server.runs), unknown=unknown
    )
    return stages.BROKEN if unknown else stages.HELD


stages.run_case(play, lambda: stages.Stage(FOLDER, ZONES))
