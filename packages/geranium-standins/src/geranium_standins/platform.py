"""Command that runs the platform stand-in."""

import click

from .platform_api import create_platform
from .server import port_option, seed_option, serve


@click.command()
@port_option
@seed_option
def main(port: int, seed: int) -> None:
    """Run the platform stand-in until SIGTERM.

    The seed has no effect; it is accepted for uniformity with the engine.
    """
    serve(create_platform(), port)


if __name__ == '__main__':
    main()
