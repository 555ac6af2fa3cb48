"""Counts of work at an engine stay exact while its reports lag."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

STEPS = st.tuples(
    st.sampled_from(['send', 'token', 'end', 'report']),
    st.integers(0, 9),
)


class SimulatedEngine:
    """An engine with a single daemon and delayed reports."""

    def __init__(self, view, profile, make_load):
        self.view = view
        self.running = set()
        self._profile = profile
        self._make_load = make_load
        self._running_at = [0]

    def apply(self, step, lag, now):
        kind, number = step
        name = f'r-{number}'
        match kind:
            case 'send':
                self._send(name, now)
            case 'token':
                self.view.record_first_token(name)
            case 'end':
                self.running.discard(name)
                self.view.record_end(name, now)
        self._running_at.append(len(self.running))
        if kind == 'report':
            at = max(now - lag, 0)
            self.view.apply_load(
                self._make_load('e-1', at, running=self._running_at[at]),
            )

    def _send(self, name, now):
        if name not in self.running:
            self.running.add(name)
            named = dataclasses.replace(self._profile, request_id=name)
            self.view.record_dispatch(named, now)


@pytest.fixture(scope='session')
def make_engine(make_view, profile, make_load):
    return lambda: SimulatedEngine(make_view('e-1'), profile, make_load)


@given(data=st.data())
@settings(derandomize=True, deadline=None)
def test_counts_stay_exact_with_lagging_reports(data, make_engine):
    engine = make_engine()
    lag = data.draw(st.integers(1, 8))
    steps = data.draw(st.lists(STEPS, max_size=60))
    for now, step in enumerate(steps, start=1):
        engine.apply(step, lag, now)
        assert engine.view.local.requests == len(engine.running)
        assert engine.view.sequences() == len(engine.running)
    for name in engine.running:
        engine.view.record_end(name, now=1000)
    assert engine.view.local.prefill_tokens == 0
    assert engine.view.local.kv_pieces == 0


def test_reported_prefill_is_worked_off_with_time(make_view, make_load):
    view = make_view('e-1')
    view.apply_load(make_load('e-1', 0, prefill_tokens_waiting=8000))
    assert view.prefill_tokens(now=0) == 8000
    assert view.prefill_tokens(now=0.2) == 4000
    assert view.prefill_tokens(now=9) == 0


def test_older_report_is_dropped(make_view, make_load):
    view = make_view('e-1')
    view.apply_load(make_load('e-1', 5, running=3))
    view.apply_load(make_load('e-1', 4, running=9))
    assert view.sequences() == 3
