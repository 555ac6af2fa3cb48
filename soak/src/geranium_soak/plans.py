"""Generates the faults of a run from its seed."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from . import faults
from .rare_faults import (
    CUT_WEIGHT_BY_MAKER,
    LIMIT_WEIGHT_BY_MAKER,
    RARE_WEIGHT_BY_MAKER,
    SERVICE_WEIGHT_BY_MAKER,
)

SERIES_SHARE = 0.35  # of the draws are repeated, like rolling operator work
SERIES_LENGTH = (2, 4)
SERIES_GAP_S = (0.2, 1.5)
SHORT_FAULT_SHARE = 0.6
SHORT_FAULT_S = (0.4, 2.5)  # shorter than the bounds on the hosts' reaction
LONG_FAULT_S = (2.5, 9.0)  # longer than all bounds, also for withdrawn keys
WITHDRAWAL_SHARE = 0.5  # of the faults between hosts and the store
WITHDRAWAL_AFTER_S = 0.3  # the store is already cut off, so no host knows
MEAN_INTERVAL_S = 1.6  # between two draws; short enough for overlapping faults
DELAYS_MS = (20, 300)
FAULTY_REQUEST_SHARES = (0.1, 1)  # of a target's requests
MAX_CHANGES = 4  # successive changes of the catalogue per draw
SIGNALLED_SHARE = 0.5  # of the changes of settings
RARE_FACTOR = 2  # these faults are drawn in the first part of a plan
LIMIT_FACTOR = 4  # likewise; a few limits leave targets for the callers
MEAN_CUT_INTERVAL_S = 10.0  # cut hosts have others beside them
MEAN_SERVICE_INTERVAL_S = 4.0  # of faults of several targets of a service
ADDRESS_REUSE_SHARE = 0.4  # of the crashed targets


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A fault and its start, in seconds from the start of the plan."""

    at_s: float
    fault: faults.Fault


def draw_plan(seed: int, length_s: float, hosts: int) -> tuple[Step, ...]:
    """Return the faults of a run, which depend on the arguments alone.

    Args:
        seed: Seed of the run.
        length_s: Period in which faults begin, in seconds.
        hosts: Number of host processes.
    """
    steps = itertools.chain(
        _draw_steps(random.Random(seed), length_s, hosts, _WEIGHT_BY_MAKER),
        # A source of its own leaves the other faults of a seed as they were.
        _draw_steps(
            random.Random(f'{seed} rare'),
            length_s / RARE_FACTOR,
            hosts,
            RARE_WEIGHT_BY_MAKER,
        ),
        _draw_steps(
            random.Random(f'{seed} limits'),
            length_s / LIMIT_FACTOR,
            hosts,
            LIMIT_WEIGHT_BY_MAKER,
        ),
        _draw_steps(
            random.Random(f'{seed} cuts'),
            length_s,
            hosts,
            CUT_WEIGHT_BY_MAKER,
            MEAN_CUT_INTERVAL_S,
        ),
        _draw_steps(
            random.Random(f'{seed} services'),
            length_s,
            hosts,
            SERVICE_WEIGHT_BY_MAKER,
            MEAN_SERVICE_INTERVAL_S,
        ),
    )
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw_steps(
    source: random.Random,
    length_s: float,
    hosts: int,
    weight_by_maker: Mapping['Maker', int],
    mean_interval_s: float = MEAN_INTERVAL_S,
) -> Iterator[Step]:
    makers, weights = zip(*weight_by_maker.items(), strict=True)
    at_s = source.uniform(0, mean_interval_s)
    while at_s < length_s:
        maker = source.choices(makers, weights)[0]
        fault = maker(source, hosts)
        yield Step(at_s, fault)
        yield from _draw_follow_up_withdrawal(source, fault, at_s)
        if _chance(source, SERIES_SHARE):
            yield from _draw_series(source, maker, at_s, hosts)
        at_s += source.expovariate(1 / mean_interval_s)


def _draw_follow_up_withdrawal(
    source: random.Random,
    fault: faults.Fault,
    at_s: float,
) -> Iterator[Step]:
    """Yield, for some store faults, a key withdrawal just after their start."""
    if not isinstance(fault, faults.CutStoreLink | faults.HarmStore):
        return
    if _chance(source, WITHDRAWAL_SHARE):
        yield Step(at_s + WITHDRAWAL_AFTER_S, faults.WithdrawKey())


def _draw_series(
    source: random.Random,
    maker: 'Maker',
    at_s: float,
    hosts: int,
) -> Iterator[Step]:
    for _ in range(source.randint(*SERIES_LENGTH) - 1):
        at_s += source.uniform(*SERIES_GAP_S)
        yield Step(at_s, maker(source, hosts))


def _chance(source: random.Random, share: float) -> bool:
    return source.random() < share


def _draw_duration_s(source: random.Random) -> float:
    bounds = (
        SHORT_FAULT_S if _chance(source, SHORT_FAULT_SHARE) else LONG_FAULT_S
    )
    return source.uniform(*bounds)


def _draw_kill(source: random.Random, hosts: int) -> faults.Fault:
    return faults.KillHosts(source.choice((1, 1, 2, hosts)))


def _draw_pause(source: random.Random, hosts: int) -> faults.Fault:
    return faults.PauseHost(_draw_duration_s(source))


def _draw_stop(source: random.Random, hosts: int) -> faults.Fault:
    return faults.StopHost()


def _draw_reload(source: random.Random, hosts: int) -> faults.Fault:
    return faults.ReloadHost(signalled=_chance(source, SIGNALLED_SHARE))


def _draw_store_cut(source: random.Random, hosts: int) -> faults.Fault:
    fault = source.choice(tuple(faults.LinkFault))
    return faults.CutStoreLink(fault, _draw_duration_s(source))


def _draw_target_cut(source: random.Random, hosts: int) -> faults.Fault:
    fault = source.choice(tuple(faults.LinkFault))
    return faults.CutTargetLink(fault, _draw_duration_s(source))


def _draw_target_delay(source: random.Random, hosts: int) -> faults.Fault:
    return faults.DelayTargetLink(
        source.randint(*DELAYS_MS), _draw_duration_s(source)
    )


def _draw_store_fault(source: random.Random, hosts: int) -> faults.Fault:
    fault = source.choice(tuple(faults.StoreFault))
    return faults.HarmStore(fault, _draw_duration_s(source))


def _draw_target_fault(source: random.Random, hosts: int) -> faults.Fault:
    fault = source.choice(tuple(faults.TargetFault))
    return faults.HarmTarget(
        fault, source.uniform(*FAULTY_REQUEST_SHARES), _draw_duration_s(source)
    )


def _draw_target_crash(source: random.Random, hosts: int) -> faults.Fault:
    reused = _chance(source, ADDRESS_REUSE_SHARE)
    return faults.CrashTarget(_draw_duration_s(source), reused=reused)


def _draw_target_replacement(source: random.Random, hosts: int) -> faults.Fault:
    return faults.ReplaceTarget()


def _draw_catalogue_change(source: random.Random, hosts: int) -> faults.Fault:
    return faults.ChangeCatalogue(
        source.randint(1, MAX_CHANGES),
        source.uniform(*SERIES_GAP_S),
    )


def _draw_key_withdrawal(source: random.Random, hosts: int) -> faults.Fault:
    return faults.WithdrawKey()


Maker = Callable[[random.Random, int], faults.Fault]

# Withdrawals and changes reveal little without other faults, so they are
# frequent enough to overlap with them.
_WEIGHT_BY_MAKER: Mapping[Maker, int] = MappingProxyType(
    {
        _draw_kill: 2,
        _draw_pause: 2,
        _draw_stop: 2,
        _draw_reload: 1,
        _draw_store_cut: 3,
        _draw_target_cut: 2,
        _draw_target_delay: 1,
        _draw_store_fault: 3,
        _draw_target_fault: 3,
        _draw_target_crash: 2,
        _draw_target_replacement: 2,
        _draw_catalogue_change: 3,
        _draw_key_withdrawal: 3,
    },
)
