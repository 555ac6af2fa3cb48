"""Faults that are drawn apart, so that older seeds keep their plans."""

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

from geranium_standins.host_links import CutMode

from . import faults
from .service_faults import FillTargets, SilenceTargets, SlowPrefill
from .target_links import CutHosts

LOST_S = (0.4, 2.5)  # age of the copy that the store is restored from
RESTORE_GAP_S = (0.1, 1.0)  # until operators and targets write again
LISTED_S = (2.5, 9.0)  # for which a departing target is listed as ready
PAUSE_S = (2.5, 9.0)
REFUSED_SHARES = (0.1, 1)
REFUSING_S = (0.4, 5.0)
LIMITS_PER_S = (0.5, 4.0)
WHOLE_ZONE_SHARE = 0.5  # of the cuts of hosts
CUT_S = (4.0, 9.0)  # longer than hosts may take to notice a cut
LIMITED_S = (6.0, 14.0)  # hosts have some seconds to learn of a limit
SHARES_OF_SERVICE = (0.2, 0.5, 0.8)  # of its targets, at least one
SILENCE_S = (1.0, 3.0)
FULL_S = (2.0, 8.0)
SLOW_PREFILL_S = (3.0, 9.0)
PREFILL_DELAYS_S = (0.3, 2.0)


def _draw_restore(source: random.Random, hosts: int) -> faults.Fault:
    return faults.RestoreStore(
        source.uniform(*LOST_S), source.uniform(*RESTORE_GAP_S)
    )


def _draw_departure(source: random.Random, hosts: int) -> faults.Fault:
    return faults.AnnounceDeparture(source.uniform(*LISTED_S))


def _draw_pause_request(source: random.Random, hosts: int) -> faults.Fault:
    return faults.AskForPause(
        source.uniform(*PAUSE_S),
        source.uniform(*REFUSED_SHARES),
        source.uniform(*REFUSING_S),
    )


def _draw_limit(source: random.Random, hosts: int) -> faults.Fault:
    return faults.NameLimit(
        source.uniform(*LIMITS_PER_S), source.uniform(*LIMITED_S)
    )


def _draw_host_cut(source: random.Random, hosts: int) -> faults.Fault:
    return CutHosts(
        source.choice(tuple(CutMode)),
        source.random() < WHOLE_ZONE_SHARE,
        source.uniform(*CUT_S),
    )


def _draw_silence(source: random.Random, hosts: int) -> faults.Fault:
    return SilenceTargets(
        source.choice(SHARES_OF_SERVICE), source.uniform(*SILENCE_S)
    )


def _draw_full_targets(source: random.Random, hosts: int) -> faults.Fault:
    return FillTargets(
        source.choice(SHARES_OF_SERVICE), source.uniform(*FULL_S)
    )


def _draw_slow_prefill(source: random.Random, hosts: int) -> faults.Fault:
    return SlowPrefill(
        source.choice(SHARES_OF_SERVICE),
        source.uniform(*SLOW_PREFILL_S),
        source.uniform(*PREFILL_DELAYS_S),
    )


RARE_WEIGHT_BY_MAKER: Mapping[
    Callable[[random.Random, int], faults.Fault], int
] = MappingProxyType(
    {
        _draw_restore: 2,
        _draw_departure: 1,
        _draw_pause_request: 1,
    },
)
# Drawn apart from the others, so that these keep their plans too.
LIMIT_WEIGHT_BY_MAKER: Mapping[
    Callable[[random.Random, int], faults.Fault], int
] = MappingProxyType({_draw_limit: 1})
CUT_WEIGHT_BY_MAKER: Mapping[
    Callable[[random.Random, int], faults.Fault], int
] = MappingProxyType({_draw_host_cut: 1})
SERVICE_WEIGHT_BY_MAKER: Mapping[
    Callable[[random.Random, int], faults.Fault], int
] = MappingProxyType(
    {
        _draw_silence: 2,
        _draw_full_targets: 2,
        _draw_slow_prefill: 1,
    },
)
