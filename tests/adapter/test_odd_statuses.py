"""A response whose status is none ends no call, wherever it is read.

Another operator's report: a target in trouble sent a response with the status
000, and the caller got it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import geranium_relay as relay
import pytest
from geranium_coordination import StoreError, Unconditional
from geranium_platform.cloud import Cloud
from geranium_platform.object_store import PlatformStore
from geranium_relay.peer_forwarding.encoding import MalformedMessageError
from geranium_relay.peer_forwarding.frame_codec import (
    decode_frame,
    encode_frame,
)
from geranium_relay.peer_forwarding.messages import HeadFrame

from .conftest import World, only_target
from .raw_servers import listening, named_id
from .target_caller import calling

STATUSES = ('000', '001', '099', '101', '600', '999')
FIELDS = b'Request-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 2\r\n'
KINDS = tuple(relay.RouteKind)
BODY = b'{}'


class OddServer:
    """Responds to each call with one status."""

    def __init__(self) -> None:
        self.status = ''
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._respond(reader, writer)
        writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
        length = (*head.partition(b'content-length:')[2].split(), 0)
        await reader.readexactly(int(length[0]))
        status_line = f'HTTP/1.1 {self.status} Odd\r\n'.encode()
        fields = FIELDS % named_id(head)
        writer.write(b''.join((status_line, fields, b'\r\n', BODY)))
        await writer.drain()


@pytest.fixture(params=STATUSES)
async def server(request: pytest.FixtureRequest) -> AsyncIterator[OddServer]:
    odd = OddServer()
    odd.status = request.param
    async with listening(odd.serve) as address:
        odd.address = address
        yield odd


@pytest.mark.parametrize('kind', KINDS)
async def test_call_to_a_target_may_have_run(
    server: OddServer, kind: relay.RouteKind
) -> None:
    async with calling(server.address) as caller:
        assert await caller.send('r1', kind) is relay.AnswerLostError
        assert await caller.read_prompt('r2') is relay.AnswerLostError


async def test_store_has_answered_nothing(server: OddServer) -> None:
    store = PlatformStore(relay.StoreSettings(server.address))
    with pytest.raises(StoreError):
        await store.list_kind('servers')
    with pytest.raises(StoreError):
        await store.write('usage/counts/h', {}, Unconditional())
    await store.cleanup()


async def test_provider_has_taken_nothing(server: OddServer) -> None:
    log = relay.DecisionLog(relay.LogSettings(), lambda _line: None, float)
    cloud = Cloud(server.address, 'host-1', log)
    order = relay.TargetOrder('app', 'a', reclaimable=False, count=2)

    assert not await cloud.report(1, {'team': 1}, 1)
    assert isinstance(await cloud.order(order, 1), relay.OrderFailed)
    await cloud.cleanup()


@pytest.mark.parametrize('status', [int(status) for status in STATUSES])
def test_frame_of_another_host_with_it_is_malformed(status: int) -> None:
    head = relay.ResponseHead(status, (), signed=True)

    with pytest.raises(MalformedMessageError):
        decode_frame(encode_frame(HeadFrame(head, None)))


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'streaming'])
async def test_caller_gets_a_failure(
    server: OddServer, world: World, kind: str
) -> None:
    async with only_target(world, server.serve):
        url = world.url(f'/{kind}/x')
        async with world.caller.post(url, headers=world.headers()) as response:
            assert response.status == 502
            assert 'Response-Signature' not in response.headers
