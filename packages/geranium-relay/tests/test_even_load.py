"""Many hosts with the same reports choose engines evenly."""

import collections
import dataclasses
import random

import geranium_relay as relay
import pytest
from geranium_policy.crash_causes import RequestFingerprints
from geranium_policy.prompt_placement import Placement

from .world import make_route

HOSTS = 89
ENGINES = 15
PROFILE = relay.EngineProfile(32, 970477)
PROMPT = relay.Prompt(1460, 100, (relay.PromptPart('own', 1460),))
ROUTE = dataclasses.replace(
    make_route('stream', relay.RouteKind.STREAM), target_latency_s=0.6
)


def job() -> relay.Job:
    arrival = relay.IncomingRequest(
        identity='r1',
        method='POST',
        path='/stream/x',
        headers=(),
        body=b'',
        arrived_at=100,
        caller_deadline=105,
        resume_after=None,
        prompt=PROMPT,
    )
    return relay.Job(
        arrival, ROUTE, 'service', None, 105, RequestFingerprints(0), 106
    )


def engines() -> list[relay.Target]:
    return [
        relay.Target(
            identity=f't{number}',
            born_ms=1,
            service='service',
            address=f'10.0.0.{number}:1',
            zone='a',
            slots=32,
            leaving=False,
            reclaimable=False,
            stage=relay.Stage.DECODE,
            weights_version=None,
        )
        for number in range(ENGINES)
    ]


def choose(
    settings: relay.TargetSelectorSettings, age_s: float, number: int
) -> str:
    """Return what a host chooses if reports show one engine as idle."""
    fleet = relay.Fleet(2, 2)
    fleet.replace(engines(), 100)
    busy = relay.TargetLoad(16, (3000, 0, 0, 0))
    loads = relay.LoadTracker(1)
    loads.update_peer(
        'peer', {target.key: busy for target in engines()[1:]}, 100
    )
    log = relay.DecisionLog(relay.LogSettings(), print, lambda: 100)
    limits = relay.TargetRateLimits(
        'h1', lambda _key: {}, lambda: 100, lambda: 100, log
    )
    selector = relay.TargetSelector(
        relay.SelectorContext(
            'a',
            lambda: age_s,
            relay.TargetNotices(lambda: 100, log, limits),
        ),
        fleet,
        loads,
        settings,
        lambda: 100,
        random.Random(number),
    )
    decision = selector.select_engines(job(), PROFILE, frozenset())
    assert isinstance(decision, Placement)
    return decision.generator


@pytest.mark.parametrize(
    ('settings', 'age_s', 'fewest', 'most'),
    [
        (relay.TargetSelectorSettings(), 0.5, HOSTS, HOSTS),
        (relay.even_load_settings(), 0.5, 0, 25),
        (relay.even_load_settings(), 0, HOSTS, HOSTS),
    ],
    ids=['default', 'even', 'even with fresh reports'],
)
def test_engine_that_reports_show_as_idle_is_not_flooded(
    settings: relay.TargetSelectorSettings,
    age_s: float,
    fewest: int,
    most: int,
) -> None:
    """Within the age of a report all hosts choose; 89 would fill 32 slots.

    The default and fresh reports send all of them to the idle engine.
    """
    found = collections.Counter(
        choose(settings, age_s, number) for number in range(HOSTS)
    )

    assert fewest <= found['t0@1'] <= most
