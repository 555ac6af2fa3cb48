"""Emulated days rank better policies above worse ones."""

import dataclasses
import pathlib

import pytest
from click.testing import CliRunner
from geranium_emulator import DocumentError, read_plan
from geranium_emulator.cli import main
from geranium_emulator.experiments import Variant, play, rank_agreement
from geranium_emulator.plans import DayPlan, EnginePlan, HostPlan, RequestPlan
from geranium_emulator.results import WINDOW_S, Tallies, summarize

PLANS = pathlib.Path(__file__).parents[1] / 'plans'
CALM_DAY = DayPlan(
    seconds=4,
    hosts=HostPlan(count=3),
    requests=(RequestPlan(name='card', per_s=20),),
)


@pytest.fixture(scope='module')
def reclaim_plan() -> DayPlan:
    plan = read_plan(PLANS / 'reclaim.toml')
    shorter = {'seconds': 14}
    return plan.model_copy(update=shorter)


def test_day_without_faults_is_fully_served() -> None:
    result = play(CALM_DAY, Variant('relay'), seed=1)

    assert result.served == 1
    assert result.failed == 0
    assert result.worth == pytest.approx(1)


def test_same_seed_gives_the_same_day() -> None:
    first = play(CALM_DAY, Variant('relay'), seed=3)

    assert play(CALM_DAY, Variant('relay'), seed=3) == first


def test_products_policy_beats_the_baselines(reclaim_plan: DayPlan) -> None:
    """Load: bursts of one kind while a zone's engines are reclaimed."""
    relay = play(reclaim_plan, Variant('relay'), seed=1)
    round_robin = play(reclaim_plan, Variant('round-robin'), seed=1)
    prefix_home = play(reclaim_plan, Variant('prefix-home'), seed=1)

    assert relay.worth > round_robin.worth
    assert relay.worth > prefix_home.worth


def test_outdated_loads_reduce_worth() -> None:
    """Load: many hosts that select engines by loads one second old."""
    frequent = DayPlan(
        seconds=3,
        hosts=HostPlan(count=24),
        engines=EnginePlan(prefill=2, decode=6),
        requests=(RequestPlan(name='card', per_s=300, own_tokens=1500),),
    )
    hosts = HostPlan(count=24, near_news_every_s=1, far_news_every_s=1)
    infrequent = frequent.model_copy(update={'hosts': hosts})

    frequent_worth = play(frequent, Variant('relay'), seed=1).worth
    infrequent_worth = play(infrequent, Variant('relay'), seed=1).worth

    assert frequent_worth > infrequent_worth


def test_worst_windows_are_the_worst_quarter() -> None:
    tallies = Tallies()
    tallies.count('card', 0, 'failed', 1)
    for window in range(1, 8):
        tallies.count('card', window * WINDOW_S, 'in_time', 1)

    result = summarize(tallies, 0, 0)

    assert result.served == pytest.approx(0.875)
    assert result.worst_windows == pytest.approx(0.5)


def test_rank_agreement_leaves_ties_out() -> None:
    two_of_three = pytest.approx(2 / 3)

    assert rank_agreement((1, 2, 3), (1, 3, 2)) == two_of_three
    assert rank_agreement((1, 1), (1, 2)) == 1


@pytest.mark.parametrize(
    'text',
    ['requests = 1', 'unknown = 2', '[[troubles]]\ntrouble = "flood"'],
)
def test_invalid_plan_is_rejected(tmp_path: pathlib.Path, text: str) -> None:
    path = tmp_path / 'day.toml'
    path.write_text(text)

    with pytest.raises(DocumentError):
        read_plan(path)
    assert CliRunner().invoke(main, ['run', str(path)]).exit_code == 2


def test_command_prints_a_row_for_each_variant_and_a_plot(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / 'day.toml'
    path.write_text('seconds = 2\n[[requests]]\nname = "card"\nper_s = 9')
    plot = tmp_path / 'day.png'
    arguments = ['run', str(path), '--seeds', '1', '--plot', str(plot)]
    arguments += ['--variant', 'relay:home_s=0', '--variant', 'round-robin']

    shown = CliRunner().invoke(main, arguments)

    assert shown.exit_code == 0
    assert 'relay:home_s=0.0 ' in shown.output
    assert 'round-robin ' in shown.output
    assert plot.stat().st_size


@pytest.mark.parametrize('text', ['other', 'relay:other=1', 'relay:home_s=x'])
def test_unknown_variants_are_rejected(text: str) -> None:
    arguments = ['run', str(PLANS / 'reclaim.toml'), '--variant', text]

    assert CliRunner().invoke(main, arguments).exit_code == 2


def test_results_name_their_fields() -> None:
    result = summarize(Tallies(), 0, 0)

    assert dataclasses.asdict(result)['served'] == 1
