"""A request that crashes all servers of its service at the same moment."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
BACK_S = 2.5
PERIOD_S = 5.0
LAST_S = 60.0
REPEATS = int(os.environ.get('REPEATS', '3'))  # beyond the first, at once
HARMFUL_PATH = stages.FragileServer.harmful_path


async def send_harmful(stage: stages.Stage, repeats: int) -> None:
    """Send the harmful request again and again, with repeats at once."""
    number = 0
    while True:
        number += 1
        hosts = [
            stage.hosts[(number + place) % len(stage.hosts)]
            for place in range(1 + repeats)
        ]
        connections = [
            await stages.Connection.open(host.front) for host in hosts
        ]
        for place, connection in enumerate(connections):
            headers = {
                'Request-Id': f'harmful{number}.{place}',
                'Authorization': 'Bearer key1',
                'Deadline-Ms': '1000',
            }
            connection.send(HARMFUL_PATH, headers)
        await asyncio.sleep(1.2)
        for connection in connections:
            connection.close()
        await asyncio.sleep(PERIOD_S - 1.2)


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Send the harmful request, and count the retries."""
    routes = [stages.route('safe', 'safe', 'app')]
    configuration = stages.configuration(1, routes, {'t1': ['key1']})
    stage.store.put('config', 'main', configuration)
    servers = []
    for number, zone in enumerate(ZONES):
        server = stages.FragileServer(f'i-{number}', 'app', stage, BACK_S)
        servers.append(server)
        await stage.add_server(server, zone, 100 + number)
    await stage.add_hosts(ZONES)
    tasks = [asyncio.create_task(stages.send_ordinary(stage))]
    await asyncio.sleep(2)
    repeats = REPEATS if troubled else 0
    tasks.append(asyncio.create_task(send_harmful(stage, repeats)))
    await asyncio.sleep(LAST_S - stage.record.now())
    for task in tasks:
        task.cancel()
    arrivals = sorted(at for one in servers for at in one.harmful_arrivals())
    if len(arrivals) < 3:  # no third server has crashed
        stage.record.line('result', arrivals=arrivals, retries=0)
        return stages.HELD
    since = arrivals[2] + stages.BOUNDS['contactMs'] / 1000
    retries = [at for at in arrivals if at > since]
    stage.record.line(
        'result',
        arrivals=[round(at, 3) for at in arrivals],
        counted_from=round(since, 3),
        retries=len(retries),
    )
    return stages.BROKEN if len(retries) > 3 else stages.HELD


stages.run_case(play, lambda record: stages.Stage(record, ZONES))
