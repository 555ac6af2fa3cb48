"""Simulated workloads: teams, shared prefixes and changing request lengths."""

import dataclasses
import random
from collections.abc import Iterator

import xxhash
from batching import Job
from geranium_policy import RequestProfile
from geranium_policy.prefixes import PREFIX_BLOCK_TOKENS

WAIT_S = 30
HASH_BITS = 62
LENGTH_SIGMA = 0.5
ESTIMATE_RANGE = (0.6, 1.6)


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A phase of a workload with its own request lengths.

    Args:
        duration_s: Duration of the phase.
        requests_per_s: Poisson arrival rate of all teams.
        prompt_tokens: Mean length of the prompts without shared prefixes.
        output_tokens: Mean length of the responses.
    """

    duration_s: float
    requests_per_s: float
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamTraffic:
    """A team's part of the traffic.

    Args:
        name: Name of the team.
        share: Its share of the arrivals.
        flood_per_s: Additional arrival rate.
        guides: Number of style guides. Each prompt begins with one of them.
        guide_blocks: Length of a guide in blocks.
    """

    name: str
    share: float
    flood_per_s: float = 0
    guides: int = 4
    guide_blocks: int = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the index of the daemon that receives it."""

    job: Job
    daemon: int


def arrivals(
    teams: tuple[TeamTraffic, ...],
    phases: tuple[Phase, ...],
    daemons: int,
    seed: int,
) -> Iterator[Arrival]:
    """Yield the requests of a run in the order of their arrival."""
    source = random.Random(seed)
    start: float = 0
    for phase in phases:
        weights = [
            team.share * phase.requests_per_s + team.flood_per_s
            for team in teams
        ]
        now = start + source.expovariate(sum(weights))
        while now < start + phase.duration_s:
            team = source.choices(teams, weights)[0]
            job = _job(source, team, phase, now)
            yield Arrival(job, source.randrange(daemons))
            now += source.expovariate(sum(weights))
        start += phase.duration_s


def _job(
    source: random.Random,
    team: TeamTraffic,
    phase: Phase,
    now: float,
) -> Job:
    own_tokens = _length(source, phase.prompt_tokens)
    output_tokens = _length(source, phase.output_tokens)
    guide_tokens = team.guide_blocks * PREFIX_BLOCK_TOKENS
    profile = RequestProfile(
        request_id=f'r-{source.getrandbits(HASH_BITS)}',
        team=team.name,
        service='llm',
        priority=5,
        prompt_tokens=guide_tokens + own_tokens,
        expected_tokens=_estimate(source, output_tokens),
        prefix_hashes=tuple(_prefixes(source, team, own_tokens)),
        deadline=now + WAIT_S,
    )
    return Job(profile, output_tokens, now)


def _length(source: random.Random, mean: int) -> int:
    factor = source.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
    return max(int(mean * factor), 1)


def _estimate(source: random.Random, tokens: int) -> int:
    return max(int(tokens * source.uniform(*ESTIMATE_RANGE)), 1)


def _prefixes(
    source: random.Random,
    team: TeamTraffic,
    own_tokens: int,
) -> Iterator[int]:
    guide = int(team.guides * source.random() ** 2)
    for block in range(team.guide_blocks):
        name = f'{team.name}/{guide}/{block}'
        yield xxhash.xxh3_64_intdigest(name.encode())
    for _ in range(own_tokens // PREFIX_BLOCK_TOKENS):
        yield source.getrandbits(HASH_BITS)
