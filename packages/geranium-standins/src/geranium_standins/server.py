"""HTTP server of a stand-in's process."""

import asyncio
import json
import signal

import click
from aiohttp import web

MAX_PORT = 65_535
LOOPBACK = '127.0.0.1'
SHUTDOWN_S = 0.5
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
KEEP_ALIVE_S = 600
LISTEN_BACKLOG = 1024

port_option = click.option(
    '--port',
    type=click.IntRange(0, MAX_PORT),
    default=0,
    show_default=True,
    help='Port on the loopback address; 0 lets the kernel choose.',
)
seed_option = click.option(
    '--seed',
    type=int,
    default=0,
    show_default=True,
    help='Seed of the random choices.',
)


def serve(app: web.Application, port: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Prints one line of JSON with the address once the server listens.
    """
    asyncio.run(_serve(app, port))


async def _serve(app: web.Application, port: int) -> None:
    runner, address = await start_server(app, port)
    try:
        await print_addresses_and_wait({'address': address})
    finally:
        await runner.cleanup()


async def print_addresses_and_wait(addresses: dict[str, str]) -> None:
    """Print the addresses as JSON and wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in SHUTDOWN_SIGNALS:
        loop.add_signal_handler(signal_number, stopped.set)
    click.echo(json.dumps(addresses))
    await stopped.wait()


async def start_server(
    app: web.Application,
    port: int,
) -> tuple[web.AppRunner, str]:
    """Listen on the loopback address.

    Returns:
        The runner, whose ``cleanup`` stops the server, and the address as
        ``host:port``.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_S,
        keepalive_timeout=KEEP_ALIVE_S,
    )
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port, backlog=LISTEN_BACKLOG)
    await site.start()
    host, bound_port = runner.addresses[0][:2]
    return runner, f'{host}:{bound_port}'
