"""A request that crashes all servers of its service at the same moment."""

import asyncio
import contextlib
import os
import pathlib
import sys

from aiohttp import web

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
BACK_S = 2.5
PERIOD_S = 5.0
LAST_S = 60.0
REPEATS = int(os.environ.get('REPEATS', '3'))  # beyond the first, at once
HARMFUL_PATH = '/safe/harmful'


class FragileServer(stages.AppServer):
    """A server that crashes when it begins to run one request."""

    stage: stages.Stage
    crashing: asyncio.Task[None] | None = None

    async def answer(
        self, request: web.Request, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Answer a request, or crash."""
        if request.path == HARMFUL_PATH:
            self.crashing = asyncio.create_task(self.crash(self.stage, BACK_S))
            await asyncio.sleep(60)
        return await super().answer(request, echo)


async def send(
    stage: stages.Stage, host: stages.HostProcess, identity: str, path: str
) -> None:
    """Send a request as a client does."""
    headers = {
        'Request-Id': identity,
        'Authorization': 'Bearer key1',
        'Deadline-Ms': '1000',
    }
    status = None
    with contextlib.suppress(OSError, TimeoutError):
        answer = await stages.ask(host.front, 'GET', path, headers, wait_s=1.2)
        status = answer.status
    stage.record.line(
        'answer', host=host.name, request=identity, path=path, status=status
    )


async def send_ordinary(stage: stages.Stage) -> None:
    """Send ordinary requests, five a second."""
    number = 0
    while True:
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        await send(stage, host, f'r{number}', '/safe/x')
        await asyncio.sleep(0.2)


async def send_harmful(stage: stages.Stage, repeats: int) -> None:
    """Send the harmful request again and again, with repeats at once."""
    number = 0
    while True:
        number += 1
        tries = [
            send(
                stage,
                stage.hosts[(number + place) % len(stage.hosts)],
                f'harmful{number}.{place}',
                HARMFUL_PATH,
            )
            for place in range(1 + repeats)
        ]
        await asyncio.gather(*tries)
        await asyncio.sleep(PERIOD_S)


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Send the harmful request, and count the retries."""
    routes = [stages.route('safe', 'safe', 'app')]
    configuration = stages.configuration(1, routes, {'t1': ['key1']})
    stage.store.put('config', 'main', configuration)
    servers = []
    for number, zone in enumerate(ZONES):
        server = FragileServer(f'i-{number}', 'app', stage.record)
        server.stage = stage
        servers.append(server)
        await stage.add_server(server, zone, 100 + number)
    await stage.add_hosts(ZONES)
    tasks = [asyncio.create_task(send_ordinary(stage))]
    await asyncio.sleep(2)
    repeats = REPEATS if troubled else 0
    tasks.append(asyncio.create_task(send_harmful(stage, repeats)))
    await asyncio.sleep(LAST_S - stage.record.now())
    for task in tasks:
        task.cancel()
    arrivals = sorted(
        at
        for server in servers
        for at, _identity, path, _team in server.runs
        if path == HARMFUL_PATH
    )
    since = arrivals[2] + stages.BOUNDS['contactMs'] / 1000
    retries = [at for at in arrivals if at > since]
    stage.record.line(
        'result',
        arrivals=[round(at, 3) for at in arrivals],
        counted_from=round(since, 3),
        retries=len(retries),
    )
    return stages.BROKEN if len(retries) > 3 else stages.HELD


stages.run_case(play, lambda: stages.Stage(FOLDER, ZONES))
