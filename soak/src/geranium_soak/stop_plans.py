"""The planned stops of a run and the pace of its targets, from its seed."""

import dataclasses
import itertools
import random
from collections.abc import Iterator

SERIES_GAP_S = (0.5, 4.0)  # some hosts are not back when others stop
AT_ONCE_GAP_S = (0, 0.3)
REPEATED_SHARE = 0.5  # of the rounds have further signals
REPEATED_AFTER_S = (0.1, 6.0)
REST_S = (1.0, 4.0)  # after all hosts are ready again
SLOWNESS = (0.3, 0.5, 2.0, 3.0)
PACE_SPAN_S = (0.5, 4.0)
SLOWED_SHARES = (0.3, 1.0)  # of the targets


@dataclasses.dataclass(frozen=True, slots=True)
class StopRound:
    """Hosts that are stopped and started again.

    Args:
        hosts: Their numbers, in order.
        gap_s: Time from one SIGTERM to the next host's.
        repeated_after_s: When each gets a second SIGTERM, and SIGHUP; ``None``
            for neither.
        rest_s: Time after all are ready again.
    """

    hosts: tuple[int, ...]
    gap_s: float
    repeated_after_s: float | None
    rest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PaceChange:
    """Targets that work faster or slower for some time.

    Args:
        share: The share of them that is affected.
        slowness: Factor on the time that they need.
        for_s: Time that it lasts.
        rest_s: Time from then to the next change.
    """

    share: float
    slowness: float
    for_s: float
    rest_s: float


def draw_stops(seed: int, rounds: int, hosts: int) -> tuple[StopRound, ...]:
    """Return the stops of a run: in series, most at once, and two at once."""
    source = random.Random(f'{seed} stops')
    drawn: list[StopRound] = []
    for number in range(rounds):
        order = source.sample(range(hosts), hosts)
        gap_s = source.uniform(*AT_ONCE_GAP_S)
        match number % 3:
            case 0:
                gap_s = source.uniform(*SERIES_GAP_S)
            case 1:
                order = order[: max(hosts - 1, 1)]
            case _:
                order = order[:2]
        is_repeated = source.random() < REPEATED_SHARE
        after_s = source.uniform(*REPEATED_AFTER_S)
        drawn.append(
            StopRound(
                tuple(order),
                gap_s,
                after_s if is_repeated else None,
                source.uniform(*REST_S),
            )
        )
    return tuple(drawn)


def draw_paces(seed: int) -> Iterator[PaceChange]:
    """Yield the changes of the targets' pace, without end."""
    source = random.Random(f'{seed} paces')
    for _ in itertools.count():
        yield PaceChange(
            source.choice(SLOWED_SHARES),
            source.choice(SLOWNESS),
            source.uniform(*PACE_SPAN_S),
            source.uniform(*PACE_SPAN_S),
        )
