"""Simulation scenarios: each policy with its baselines, by fleet size."""

import dataclasses
import itertools
from collections.abc import Iterator

from geranium_model import Contract, Purchase, Role
from geranium_policy.admission_settings import (
    AdmissionSettings,
    FairShares,
    FirstCome,
    PerHostLimits,
    QueueBounds,
)
from geranium_policy.cost_routing import LeastCost
from geranium_policy.engine_views import EngineSpeed
from geranium_policy.limits import AdaptiveLimit, FixedLimit
from geranium_policy.purchases import (
    AllReserved,
    AllSpot,
    FlooredSpot,
    SpendPolicy,
)
from geranium_policy.role_policies import (
    FixedSplit,
    PlannedSplit,
    ReactiveThreshold,
    RolePolicy,
)
from geranium_policy.roles import RoleSettings
from geranium_policy.routing import LeastLoaded, RandomOfTwo, RoundRobin
from geranium_policy.spreads import BestOfSample, Cheapest
from serving import ServingSettings
from spending import Day
from workloads import Phase, TeamTraffic

DAEMONS = 9
SHARES = (0.3, 0.25, 0.15, 0.1, 0.08, 0.05, 0.04, 0.03)
TEAMS = tuple(
    TeamTraffic(f'team-{number}', share)
    for number, share in enumerate(SHARES, start=1)
)
FLOOD_PER_S = 40
# The smallest team floods.
FLOOD = (
    *TEAMS[:-1],
    dataclasses.replace(TEAMS[-1], flood_per_s=FLOOD_PER_S),
)
UNBOUNDED = 1_000_000_000
OPEN = AdmissionSettings(
    'host',
    FirstCome(),
    QueueBounds(UNBOUNDED, UNBOUNDED, refuse_early=False),
    limit=FixedLimit(UNBOUNDED),
)
KEEP_ROLES = RoleSettings(FixedSplit())
SHARE_S = 0.1
USUAL_S = 40
USUAL_TOKENS = (800, 150)
SWING_S = 60
PROMPT_HEAVY_TOKENS = (2600, 60)
OUTPUT_HEAVY_TOKENS = (300, 350)
STEADY_PER_ENGINE_S = 5
FLOODED_PER_ENGINE_S = 3.5
SWINGING_PER_ENGINE_S = 3
CHUNKED_EFFICIENCY = 0.7
WHOLE_PROMPT_EFFICIENCY = 0.35
FIRST_COMFORT = 0.6
FIRST_VERSION = PlannedSplit(FIRST_COMFORT, min_gain=0.1)
FLOORS = (0.6, 0.75, 0.9)
BASE_DEMAND = 0.7
PEAK_DEMAND = 2.2
WHOLE_PROMPT_TOKENS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class EngineKind:
    """An engine type, by how it prefills prompts between generation steps.

    ``mixed_efficiency`` is the value that the role planner uses for it.
    """

    name: str
    speed: EngineSpeed
    mixed_efficiency: float


ENGINE_KINDS = (
    EngineKind('chunks', EngineSpeed(), mixed_efficiency=CHUNKED_EFFICIENCY),
    EngineKind(
        'whole prompts',
        EngineSpeed(prefill_chunk_tokens=WHOLE_PROMPT_TOKENS),
        mixed_efficiency=WHOLE_PROMPT_EFFICIENCY,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServingCase:
    """A policy and the traffic that it is simulated with."""

    name: str
    settings: ServingSettings
    teams: tuple[TeamTraffic, ...]
    phases: tuple[Phase, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SpendCase:
    """A spend policy and the day that it is simulated with."""

    name: str
    policy: SpendPolicy
    contracts: tuple[Contract, ...]
    day: Day


def routing_cases(engines: int) -> Iterator[ServingCase]:
    """Yield the routing policies under a steady load."""
    usual = Phase(USUAL_S, STEADY_PER_ENGINE_S * engines, *USUAL_TOKENS)
    policies = {
        'round robin': RoundRobin(),
        'least loaded by report': LeastLoaded(),
        'random of two': RandomOfTwo(),
        'least cost, cheapest': LeastCost(spread=Cheapest()),
        'least cost, best of two': LeastCost(spread=BestOfSample()),
        'least cost, near equal': LeastCost(),
    }
    for name, policy in policies.items():
        settings = ServingSettings(
            _roles(mixed=engines),
            DAEMONS,
            policy,
            OPEN,
            KEEP_ROLES,
            share_period_s=0,
        )
        yield ServingCase(name, settings, TEAMS, (usual,))
        if isinstance(policy, LeastCost):
            shared = dataclasses.replace(settings, share_period_s=SHARE_S)
            sharing = f'{name}, counts shared'
            yield ServingCase(sharing, shared, TEAMS, (usual,))


def admission_cases(engines: int) -> Iterator[ServingCase]:
    """Yield the admission policies under a flood by the smallest team."""
    usual = Phase(USUAL_S, FLOODED_PER_ENGINE_S * engines, *USUAL_TOKENS)
    fair = AdmissionSettings('host')
    policies = {
        'first come': OPEN,
        'first come, early refusal': AdmissionSettings('host', FirstCome()),
        'per-host limits': AdmissionSettings('host', PerHostLimits()),
        'fair shares per host': AdmissionSettings(
            'host',
            FairShares(across_daemons=False),
        ),
        'fair shares across daemons': fair,
        'the same, adaptive limit': dataclasses.replace(
            fair,
            limit=AdaptiveLimit(),
        ),
    }
    for name, admission in policies.items():
        settings = ServingSettings(
            _roles(mixed=engines),
            DAEMONS,
            LeastCost(),
            admission,
            KEEP_ROLES,
        )
        yield ServingCase(name, settings, FLOOD, (usual,))


def roles_cases(engines: int) -> Iterator[ServingCase]:
    """Yield the role policies under a changing prompt-to-output ratio."""
    half = engines // 2
    split = _roles(prefill=half, decode=engines - half)
    mixed = _roles(mixed=engines)
    for kind in ENGINE_KINDS:
        yield _roles_case('fixed split', split, FixedSplit(), kind)
        yield _roles_case('fixed, all mixed', mixed, FixedSplit(), kind)
        yield _roles_case('reactive', mixed, ReactiveThreshold(), kind)
        yield _roles_case('planned', mixed, PlannedSplit(), kind)
        yield _roles_case('planned, first version', mixed, FIRST_VERSION, kind)


def _roles_case(
    name: str,
    roles: tuple[Role, ...],
    policy: RolePolicy,
    kind: EngineKind,
) -> ServingCase:
    rate = SWINGING_PER_ENGINE_S * len(roles)
    settings = ServingSettings(
        roles,
        DAEMONS,
        LeastCost(),
        AdmissionSettings('host', limit=AdaptiveLimit()),
        RoleSettings(policy, mixed_efficiency=kind.mixed_efficiency),
        speed=kind.speed,
    )
    prompts = Phase(SWING_S, rate, *PROMPT_HEAVY_TOKENS)
    outputs = Phase(SWING_S, rate, *OUTPUT_HEAVY_TOKENS)
    phases = (prompts, outputs, prompts)
    return ServingCase(f'{name}; {kind.name}', settings, TEAMS, phases)


def spend_cases(engines: int) -> Iterator[SpendCase]:
    """Yield the spend policies over a day with an eviction at its peak."""
    maximum = 4 * engines
    contracts = tuple(
        contract
        for zone in ('zone-a', 'zone-b', 'zone-c')
        for contract in (
            Contract('llm', zone, Purchase.RESERVED, engines // 3, maximum, 3),
            Contract('llm', zone, Purchase.SPOT, 0, maximum, 1),
        )
    )
    policies: dict[str, SpendPolicy] = {
        'all reserved': AllReserved(),
        'all spot': AllSpot(),
    }
    policies.update((f'floor {floor}', FlooredSpot(floor)) for floor in FLOORS)
    day = Day(BASE_DEMAND * engines, PEAK_DEMAND * engines)
    for name, policy in policies.items():
        yield SpendCase(name, policy, contracts, day)


def _roles(
    *,
    prefill: int = 0,
    decode: int = 0,
    mixed: int = 0,
) -> tuple[Role, ...]:
    return (
        *itertools.repeat(Role.PREFILL, prefill),
        *itertools.repeat(Role.DECODE, decode),
        *itertools.repeat(Role.MIXED, mixed),
    )
