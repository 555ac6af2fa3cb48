"""Planned stops of real host processes under a light load.

The targets keep their pace and no process is killed, so that the verdict does not
depend on the load of the machine. Longer runs of `geranium_soak.stops` do both.
"""

from geranium_soak.checks.planned_stops import LATE_CLOSE
from geranium_soak.stop_plans import draw_stops
from geranium_soak.stops import run_stops, stops_environment

SERVED = '200 of a target'


def test_plan_depends_on_the_seed_alone() -> None:
    assert draw_stops(7, 4, 6) == draw_stops(7, 4, 6)
    assert draw_stops(7, 4, 6) != draw_stops(8, 4, 6)


def test_rounds_stop_all_hosts_most_and_two() -> None:
    stops = draw_stops(7, 4, 6)

    assert [len(each.hosts) for each in stops] == [6, 5, 2, 6]


async def test_planned_stops_cut_nothing(tmp_path) -> None:
    settings = stops_environment(tmp_path, hosts=3)

    report = await run_stops(settings, seed=5, callers=8, rounds=1, gentle=True)

    # When a close is noticed depends on the load of the machine.
    violated = {violation.promise for violation in report.violations}
    assert not violated - {LATE_CLOSE}
    assert report.counts[SERVED]
