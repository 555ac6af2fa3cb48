"""Streams that are taken up after all hosts were killed at once."""

import asyncio
import pathlib

from aiohttp import ClientPayloadError, web
from geranium_platform_standins import StandinStore

from .host_pair import EVENTS, Pair, response_headers, run_pair
from .waits import ticks, wait_for

SIDE_BY_SIDE_S = 2  # both versions serve for a while before the old one leaves


async def break_off(request: web.Request) -> web.StreamResponse:
    """Send the first event and reset the connection, or send the rest."""
    if 'Last-Event-Id' in request.headers:
        return web.Response(body=EVENTS[1], headers=response_headers(request))
    response = web.StreamResponse(headers=response_headers(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(EVENTS[0])
    request.transport.abort()
    return response


async def begin_at_the_old_version(pair: Pair) -> str:
    """Begin streams until one breaks off; return its id.

    A stream that began at one of the two targets of the new version goes on
    at the other one.
    """
    number = 0
    async for _ in ticks():
        number += 1
        try:
            await pair.request(0, 'streaming', f'begun-{number}')
        except ClientPayloadError:
            return f'begun-{number}'


async def test_stream_is_not_joined_from_two_versions_after_all_were_killed(
    store_standin: StandinStore, store_address: str, tmp_path: pathlib.Path
) -> None:
    async with run_pair(
        store_address,
        store_standin,
        tmp_path,
        handler=break_off,
        versions=('v1', 'v2', 'v2'),
    ) as pair:
        began_as = await begin_at_the_old_version(pair)
        await asyncio.sleep(SIDE_BY_SIDE_S)
        store_standin.remove('servers', 't0')

        async def is_gone() -> bool:
            return not pair.knows('t0')

        await wait_for(is_gone)
        await pair.restart_all()

        status, _ = await pair.request(
            0, 'streaming', 'later', Last_Event_Id='1', Resumes=began_as
        )

        assert status == 503
        assert not pair.runs_of('later')
