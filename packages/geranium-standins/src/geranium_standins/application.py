"""Command that runs the application stand-in."""

import click

from .application_api import create_application
from .server import port_option, seed_option, serve
from .settings import ApplicationSettings


@click.command()
@port_option
@seed_option
@click.option('--target', default='application', help="The target's name.")
@click.option('--service', default='application', help="Its service's name.")
def main(port: int, seed: int, target: str, service: str) -> None:
    """Run the application stand-in until SIGTERM.

    The seed has no effect; it is accepted for uniformity with the engine.
    """
    settings = ApplicationSettings(target=target, service=service)
    serve(create_application(settings), port)


if __name__ == '__main__':
    main()
