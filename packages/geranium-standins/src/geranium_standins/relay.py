"""Command that runs a fault-injecting relay between two processes."""

import asyncio

import click

from .relay_server import Relay
from .server import (
    LOOPBACK,
    port_option,
    print_addresses_and_wait,
    start_server,
)


def _parse_address(
    context: click.Context,
    parameter: click.Parameter,
    text: str,
) -> tuple[str, int]:
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal():
        raise click.BadParameter(f'{text!r} is not host:port')
    return host, int(port)


@click.command()
@port_option
@click.option('--to', 'target', callback=_parse_address, required=True)
def main(port: int, target: tuple[str, int]) -> None:
    """Relay TCP connections to another address until SIGTERM."""
    asyncio.run(_serve(port, target))


async def _serve(port: int, target: tuple[str, int]) -> None:
    relay = Relay(*target)
    address = await relay.start(LOOPBACK, port)
    runner, control = await start_server(relay.create_app(), 0)
    try:
        await print_addresses_and_wait({'address': address, 'control': control})
    finally:
        await relay.stop()
        await runner.cleanup()


if __name__ == '__main__':
    main()
