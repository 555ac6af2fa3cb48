"""Interleavings drawn by Hypothesis, identical in every run."""

import itertools
from collections.abc import Callable, Collection
from typing import TypeAlias

from geranium_coordination import (
    DutySettings,
    JournalSettings,
    LeaseSettings,
    OrderReceiver,
)
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from .history import Checker
from .simulation import Scenario, history_of
from .world import HOLDER, Fault, FaultKind

HOST_COUNT = 3
NAMES = (('duty',), ('duty', 'second', 'third'))
# Relative drift of two clocks stays under margin_s / term_s, a tenth.
RATES = (0.956, 1.0, 1.044)
GAPS_S = (0, 0.1, 0.4, 0.7, 1.0, 2.0, 3.0, 5.0, 8.0)
LENGTHS_S = (0.3, 1.0, 3.0, 5.0, 6.0, 8.0, 15.0)


_Step: TypeAlias = tuple[float, FaultKind, float, int]

ALL_FAULT_KINDS = tuple(FaultKind)
# Polls so often that only the margin for clock drift is left.
FREQUENT_POLLS = DutySettings(
    lease=LeaseSettings(margin_s=0),
    poll_interval_s=0.2,
    rank_delay_s=0,
)


# Copies may be in flight for longer than it takes to replace a holder.
LONG_FLIGHTS = JournalSettings(in_flight_bound_s=12)


def scenarios(
    kinds: Collection[FaultKind],
    receivers: tuple[OrderReceiver, ...] = (),
) -> st.SearchStrategy[Scenario]:
    """Draw sequences of faults, most of them on the holder of the duty."""
    step = st.tuples(
        st.sampled_from(GAPS_S),
        st.sampled_from(sorted(kinds, key=lambda kind: kind.value)),
        st.sampled_from(LENGTHS_S),
        st.sampled_from((HOLDER, HOLDER, *range(HOST_COUNT))),
    )
    return st.builds(
        Scenario,
        faults=st.lists(step, min_size=1, max_size=6).map(_chain),
        rates=st.lists(
            st.sampled_from(RATES),
            min_size=HOST_COUNT,
            max_size=HOST_COUNT,
        ).map(tuple),
        seed=st.integers(0, 10_000),
        receivers=st.just(receivers),
        names=st.sampled_from((('duty',),) if receivers else NAMES),
        duties=st.sampled_from((DutySettings(), FREQUENT_POLLS)),
        journals=st.sampled_from((JournalSettings(), LONG_FLIGHTS)),
    )


def _chain(steps: list[_Step]) -> tuple[Fault, ...]:
    gaps_s = (step[0] for step in steps)
    ats = itertools.accumulate(gaps_s, initial=3)
    next(ats)
    return tuple(map(_fault, ats, steps))


def _fault(at: float, step: _Step) -> Fault:
    return Fault(at, *step[1:])


def explore(
    kinds: Collection[FaultKind] = ALL_FAULT_KINDS,
    receivers: tuple[OrderReceiver, ...] = (),
    interleavings: int = 100,
) -> Callable[[], None]:
    """Return a test that checks the histories of drawn scenarios."""

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=interleavings,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
        suppress_health_check=tuple(HealthCheck),
    )
    @given(scenarios(kinds, receivers))
    def search(scenario: Scenario) -> None:
        Checker().check(history_of(scenario))

    return search
