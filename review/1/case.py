"""A host that is stopped cuts streams that it has accepted since."""

import asyncio
import json
import signal
import sys

from aiohttp import web
from harness import (
    HOST_NAME,
    TROUBLE,
    CannotRunError,
    Client,
    Deployment,
    echo,
    fetch,
    run_case,
)

DEADLINE_MS = 5000  # also the timeout of the route
EVENTS = 20
GAP_S = 0.22  # a pause of up to 250 ms is on time
SENT_AFTER_S = (3.2, 3.3, 3.4)  # after SIGTERM
GRACE_S = 8
CACHED_TTLS = 3  # some clients keep the list of addresses so long


def configuration() -> dict:
    """Return the configuration document of the operator."""
    route = {
        'name': 'reply',
        'host': HOST_NAME,
        'pathPrefix': '/reply/',
        'kind': 'streaming',
        'service': 'lm-desk',
        'timeoutMs': DEADLINE_MS,
        'targetLatencyMs': 600,
        'targetGapMs': 250,
        'maxAttempts': 1,
    }
    return {
        'version': 1,
        'routes': [route],
        'services': [{'name': 'lm-desk', 'maxConnections': 370}],
    }


def request_headers(identity: str) -> dict[str, str]:
    """Return the headers of a request for a stream."""
    return {'Request-Id': identity, 'Deadline-Ms': str(DEADLINE_MS)}


async def case(deployed: Deployment) -> bool:
    """Run the case; return whether the rule held."""
    record = deployed.record
    events = EVENTS

    async def answer(request: web.Request) -> web.StreamResponse:
        identity = request.headers['Request-Id']
        record.write('run', id=identity)
        headers = echo(request, f'sig.{identity}')
        response = web.StreamResponse(
            headers={**headers, 'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        count = 1 if request.path.endswith('short') else events
        try:
            for number in range(1, count + 1):
                await asyncio.sleep(GAP_S)
                event = f'id: {number}\ndata: {identity}/{number}\n\n'
                await response.write(event.encode())
            await response.write_eof()
        except (OSError, asyncio.CancelledError):
            record.write('cut off at the server', id=identity)
            raise
        record.write('completed by the server', id=identity)
        return response

    for zone in 'abc':
        await deployed.add_target('lm-desk', zone, answer)
    deployed.configure(configuration())
    await deployed.start('abc')
    host = deployed.hosts[0]
    await asyncio.sleep(4)

    # The clients resolve the addresses and open connections, which they keep.
    answered = await fetch(host.directory, 'GET', '/resolve?zone=a', {})
    resolved = json.loads(answered.body)
    resolved_at = record.write('resolved', **resolved)
    if host.front not in resolved['addresses']:
        raise CannotRunError('the host is not listed')
    clients = [await Client.connect(host.front) for _ in SENT_AFTER_S]
    for number, client in enumerate(clients):
        first = await client.send(
            'POST', '/reply/short', request_headers(f'first-{number}'), b'x'
        )
        if first.status != 200 or not first.complete:
            raise CannotRunError('the first request failed')
    if TROUBLE:
        host.signal(signal.SIGTERM)
    stopped_at = record.write('SIGTERM' if TROUBLE else 'no SIGTERM')

    async def ask(client: Client, after_s: float) -> bool:
        identity = f'late-{after_s}'
        await asyncio.sleep(stopped_at + after_s - record.now())
        sent_at = record.write('sent', id=identity)
        if sent_at > resolved_at + CACHED_TTLS * resolved['ttlS']:
            raise CannotRunError('the client had to resolve again')
        answer = await client.send(
            'POST', '/reply/x', request_headers(identity), b'x'
        )
        ended_at = record.write(
            'answered',
            id=identity,
            status=answer.status,
            complete=answer.complete,
            pieces=answer.body.count(b'id: '),
            after_sigterm=round(record.now() - stopped_at, 3),
        )
        in_time = ended_at < sent_at + DEADLINE_MS / 1000
        return answer.complete or not in_time

    held = await asyncio.gather(*map(ask, clients, SENT_AFTER_S))
    process = host.process
    if TROUBLE and process is not None:
        left_s = stopped_at + GRACE_S - record.now()
        try:
            async with asyncio.timeout(left_s):
                await process.wait()
        except TimeoutError:
            record.write('SIGKILL')
        else:
            record.write('exited', code=process.returncode)
    record.write('ended without a complete answer', count=held.count(False))
    return all(held)


if __name__ == '__main__':
    sys.exit(run_case(case))
