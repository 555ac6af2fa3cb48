"""Measured figures and their output formats."""

import dataclasses
import json
import time
from collections.abc import Callable, Iterable

US_PER_S = 1_000_000
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Result of one measurement."""

    group: str
    name: str
    measured: float
    unit: str


def render_table(figures: Iterable[Figure]) -> str:
    """Return the figures as a Markdown table."""
    lines = [
        '| group | figure | measured | unit |',
        '| --- | --- | ---: | --- |',
    ]
    lines.extend(
        _row(figure.group, figure.name, _rounded(figure), figure.unit)
        for figure in figures
    )
    return '\n'.join(lines)


def render_json(figures: Iterable[Figure]) -> str:
    """Return the figures as JSON."""
    rows = [dataclasses.asdict(figure) for figure in figures]
    return json.dumps(rows, indent=1)


def _row(*cells: str) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _rounded(figure: Figure) -> str:
    return format(figure.measured, ',.4g')


def processor_us(work: Callable[[], object], rounds: int) -> float:
    """Return the mean processor time of a call in microseconds."""
    work()
    started_at = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started_at) / rounds * US_PER_S
