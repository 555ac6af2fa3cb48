"""Plots comparisons; needs matplotlib, an optional dependency."""

import pathlib
from collections.abc import Sequence

from .experiments import Comparison

FIELDS = ('worth', 'served', 'worst_windows', 'worst_class')
_BAR_WIDTH = 0.2
_INCHES = (8, 4)
_ROTATION = 20  # degrees, so that long names do not overlap


def draw(comparisons: Sequence[Comparison], path: pathlib.Path) -> None:
    """Write a bar chart with one group of bars per variant."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=_INCHES)
    for number, field in enumerate(FIELDS):
        axes.bar(
            [place + number * _BAR_WIDTH for place in range(len(comparisons))],
            [one.mean(field) for one in comparisons],
            _BAR_WIDTH,
            label=field,
        )
    axes.set_xticks(
        range(len(comparisons)),
        [one.variant.name for one in comparisons],
        rotation=_ROTATION,
        ha='right',
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
