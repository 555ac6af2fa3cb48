"""The console script ``geranium-emulator``."""

import dataclasses
import pathlib
import sys

import click
from geranium_policy.prompt_placement import PromptPlacementSettings

from .experiments import Comparison, Variant, compare
from .plans import DocumentError, read_plan
from .policies import POLICIES

_BAD_PLAN = 2
_COLUMNS = (
    'worth',
    'served',
    'worst_windows',
    'worst_class',
    'refused',
    'failed',
    'fresh_tokens',
    'engine_seconds',
)
_WIDTH = 14
_NAME_WIDTH = 34


@click.group()
def main() -> None:
    """Compare policies on emulated days."""


@main.command()
@click.argument('plan', type=click.Path(path_type=pathlib.Path))
@click.option(
    '--variant',
    'texts',
    multiple=True,
    default=tuple(POLICIES),
    help='POLICY or POLICY:SETTING=NUMBER:..., several times.',
)
@click.option('--seeds', type=click.IntRange(1), default=3, help='Days each.')
@click.option(
    '--plot',
    type=click.Path(path_type=pathlib.Path),
    help='Write a picture as well.',
)
def run(
    plan: pathlib.Path,
    texts: tuple[str, ...],
    seeds: int,
    plot: pathlib.Path | None,
) -> None:
    """Simulate PLAN with each variant on the same seeds and print a table."""
    variants = [parse_variant(text) for text in texts]
    try:
        day = read_plan(plan)
    except DocumentError as error:
        click.echo(str(error), err=True)
        sys.exit(_BAD_PLAN)
    comparisons = compare(day, variants, range(seeds))
    click.echo(_row('variant', _COLUMNS))
    for comparison in comparisons:
        click.echo(_row(comparison.variant.name, _figures(comparison)))
    if plot is not None:
        from .plots import draw

        draw(comparisons, plot)


def parse_variant(text: str) -> Variant:
    """Parse a variant of the form ``POLICY:SETTING=NUMBER:...``.

    Raises:
        click.BadParameter: If the policy or a setting is unknown, or a value
            is not a number.
    """
    policy, *changes = text.split(':')
    if policy not in POLICIES:
        raise click.BadParameter(f'unknown policy {policy!r}')
    known = {
        field.name for field in dataclasses.fields(PromptPlacementSettings)
    }
    settings_by_name = {}
    for change in changes:
        name, _, number = change.partition('=')
        if name not in known:
            raise click.BadParameter(f'unknown setting {name!r}')
        try:
            settings_by_name[name] = float(number)
        except ValueError:
            raise click.BadParameter(
                f'{change!r} does not set a number'
            ) from None
    return Variant(policy, settings_by_name)


def _figures(comparison: Comparison) -> list[str]:
    return [f'{comparison.mean(column):.3f}' for column in _COLUMNS]


def _row(name: str, cells: tuple[str, ...] | list[str]) -> str:
    return name.ljust(_NAME_WIDTH) + ''.join(
        cell.rjust(_WIDTH) for cell in cells
    )
