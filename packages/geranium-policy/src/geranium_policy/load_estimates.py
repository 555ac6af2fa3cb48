"""Estimates of present loads of engines from reports that are stale.

A report is 0.2 to 0.5 s old when hosts decide by it. In this time engines
prefill a part of the reported tokens and complete a part of the reported
requests, and all hosts send new ones, mostly to the engines that the reports
show as least loaded. Hosts that take reports as they are all choose these
engines until the next report arrives.

The drained estimate subtracts from each load what its engine has completed
since the report. It then adds as much work again, since as much arrives as is
completed while the fleet is busy, and adds it where hosts send it: to the
least loaded engines, which it fills up to a common level. Engines below the
level count as equally loaded, so that other costs decide between them, such as
cached prefixes.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import NamedTuple, TypeAlias

from .stale_loads import StaleLoadSettings, report_weight, shrink_to_mean


@dataclasses.dataclass(frozen=True, slots=True)
class DrainedLoadSettings:
    """Parameters of the drained estimate.

    Args:
        request_s: Approximate time for which a request occupies a slot. With
            a value half or twice as long, loads are still more even than with
            shrunk loads (``docs/design/even-load.md``).
        prefill_share: Share of the prefill rate by which queued tokens are
            drained. Engines that have a queue also get new prompts, as they
            have cached a popular prefix. With 1, queues shorter than the age
            are not seen at all, and waits at a load of 0.7 are longer.
    """

    request_s: float = 2
    prefill_share: float = 0.5


LoadEstimate: TypeAlias = StaleLoadSettings | DrainedLoadSettings


class KnownLoad(NamedTuple):
    """What a host knows of an engine's load.

    A named tuple, as each choice makes one for each engine and a frozen data
    class takes several times as long to make.

    Args:
        own_running: This host's requests at the engine.
        own_tokens: Prompt tokens of these that are not prefilled yet.
        reported_running: Requests of all other hosts, by their reports.
        reported_tokens: Prompt tokens of these that were not prefilled yet.
        slots: Maximum number of concurrent requests.
        tokens_per_s: Estimated prefill rate.
    """

    own_running: float
    own_tokens: float
    reported_running: float
    reported_tokens: float
    slots: int
    tokens_per_s: float


class PresentLoad(NamedTuple):
    """An engine's estimated load of all hosts together."""

    running: float
    queued_tokens: float


def present_loads(
    estimate: LoadEstimate,
    load_by_name: Mapping[str, KnownLoad],
    age_s: float,
) -> dict[str, PresentLoad]:
    """Return the estimated present loads of the engines of one stage.

    Args:
        estimate: How the age of the reports is taken into account.
        load_by_name: The known loads.
        age_s: Mean age of the reports in seconds.
    """
    match estimate:
        case StaleLoadSettings():
            return _shrunk_loads(estimate, load_by_name, age_s)
        case DrainedLoadSettings():
            return _drained_loads(estimate, load_by_name, age_s)


def filled_level(
    levels: Sequence[float], capacities: Sequence[float], work: float
) -> float:
    """Return the level to which work fills the least loaded engines.

    Args:
        levels: Load of each engine in units of its capacity.
        capacities: Capacity of each engine.
        work: Work to distribute.
    """
    ordered = sorted(zip(levels, capacities, strict=True))
    level, capacity = ordered[0]
    for next_level, next_capacity in ordered[1:]:
        needed = (next_level - level) * capacity
        if needed >= work:
            break
        work -= needed
        level = next_level
        capacity += next_capacity
    return level + work / max(capacity, 1)


def _shrunk_loads(
    settings: StaleLoadSettings,
    load_by_name: Mapping[str, KnownLoad],
    age_s: float,
) -> dict[str, PresentLoad]:
    shrunk_by_name = shrink_to_mean(
        {name: load.reported_tokens for name, load in load_by_name.items()},
        report_weight(settings, age_s),
    )
    return {
        name: PresentLoad(
            load.own_running + load.reported_running,
            load.own_tokens + shrunk_by_name[name],
        )
        for name, load in load_by_name.items()
    }


def _drained_loads(
    settings: DrainedLoadSettings,
    load_by_name: Mapping[str, KnownLoad],
    age_s: float,
) -> dict[str, PresentLoad]:
    if not load_by_name:
        return {}
    completed_share = min(age_s / settings.request_s, 1)
    prefill_s = settings.prefill_share * age_s
    loads = tuple(load_by_name.values())
    running = _refilled(
        [load.own_running + load.reported_running for load in loads],
        [load.reported_running * completed_share for load in loads],
        [load.slots for load in loads],
    )
    tokens = _refilled(
        [load.own_tokens + load.reported_tokens for load in loads],
        [
            min(load.reported_tokens, load.tokens_per_s * prefill_s)
            for load in loads
        ],
        [load.tokens_per_s for load in loads],
    )
    return dict(
        zip(load_by_name, map(PresentLoad, running, tokens), strict=True)
    )


def _refilled(
    known: Sequence[float],
    completed: Sequence[float],
    capacities: Sequence[float],
) -> list[float]:
    """Return loads after as much work has arrived as was completed."""
    levels = [
        max(load - done, 0) / capacity
        for load, done, capacity in zip(
            known, completed, capacities, strict=True
        )
    ]
    level = filled_level(levels, capacities, sum(completed))
    return [
        max(remaining, level) * capacity
        for remaining, capacity in zip(levels, capacities, strict=True)
    ]
