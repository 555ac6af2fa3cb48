"""Command that runs the engine stand-in."""

import dataclasses
from typing import Any

import click
from geranium_model import Role

from .engine_api import create_engine
from .options import build_settings, create_options
from .server import port_option, serve
from .settings import EngineSettings, LoadSettings, StepModel

_FENCING = click.Option(
    ('--honours-fencing/--ignores-fencing',),
    default=True,
    help='Whether orders of a lower epoch are refused.',
)
_ROLE = click.Option(
    ('--role',),
    type=click.Choice([role.value for role in Role]),
    default=Role.MIXED.value,
    show_default=True,
)
_OPTIONS = (
    _FENCING,
    _ROLE,
    *create_options(EngineSettings, excluded=('honours_fencing', 'role')),
    *create_options(StepModel),
    *create_options(LoadSettings),
)


@click.command(params=list(_OPTIONS))
@port_option
def main(port: int, role: str, **values: Any) -> None:
    """Run the engine stand-in until SIGTERM."""
    settings = build_settings(EngineSettings, values)
    settings = dataclasses.replace(
        settings,
        role=Role(role),
        step_model=build_settings(StepModel, values),
        loading=build_settings(LoadSettings, values),
    )
    serve(create_engine(settings), port)


if __name__ == '__main__':
    main()
