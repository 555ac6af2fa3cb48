"""A listener that stops takes the connections that its callers have opened."""

import asyncio
import socket

from aiohttp import web
from geranium_platform.listener import Listener
from geranium_platform_standins import free_ports

from .conftest import HOST_IP

REQUEST = b'GET / HTTP/1.1\r\nHost: example\r\n\r\n'


# Callers saw their connections reset that the process had not come to yet.
async def test_connection_that_is_not_accepted_yet_is_answered() -> None:
    async def respond(_request: web.BaseRequest) -> web.Response:
        return web.Response(text='done')

    address = (HOST_IP, free_ports(1, HOST_IP)[0])
    listener = Listener(f'{address[0]}:{address[1]}', respond)
    await listener.start()
    # The event loop does not run in between.
    callers = [socket.create_connection(address) for _ in range(3)]
    for caller in callers:
        caller.sendall(REQUEST)

    await listener.stop_accepting()

    loop = asyncio.get_running_loop()
    for caller in callers:
        caller.setblocking(False)
        answer = await loop.sock_recv(caller, 1000)
        assert answer.startswith(b'HTTP/1.1 200')
        caller.close()
    await listener.cleanup()
