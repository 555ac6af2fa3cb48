"""Faults that are drawn apart, so that older seeds keep their plans."""

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

from geranium_standins.host_links import CutMode

from . import faults
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
