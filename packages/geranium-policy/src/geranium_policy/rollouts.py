"""Rollouts: a version replaces another engine by engine, or is undone."""

import dataclasses
import enum
from collections.abc import Iterator, Sequence

from geranium_model import Drain, EngineCommand, LoadModel, Resume


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Bounds on a rollout.

    Args:
        max_changing_share: So many of the engines may be out at once; one
            always may while another one serves.
        least_answers: An engine of the new version must have given so many
            answers before the next one is changed,
        soak_s: or else have served for this time.
        max_failure_share: The new version has failed if more of its answers
            than this did, once there are ``least_answers``.
    """

    max_changing_share: float = 0.2
    least_answers: int = 20
    soak_s: float = 30
    max_failure_share: float = 0.1


class EnginePhase(enum.Enum):
    """What an engine does during a rollout."""

    SERVING = 'serving'
    DRAINING = 'draining'
    LOADING = 'loading'
    LOAD_FAILED = 'load-failed'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineVersion:
    """An engine as a rollout sees it.

    ``answered`` and ``failed`` count its answers since ``resumed_at``, when
    it began to serve its version.
    """

    engine: str
    version: str
    phase: EnginePhase = EnginePhase.SERVING
    sequences: int = 0
    resumed_at: float = float('-inf')
    answered: int = 0
    failed: int = 0


class RolloutStatus(enum.Enum):
    """How far a rollout is."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLING_BACK = 'rolling-back'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A change of a service's version.

    ``status`` is what the last plan returned. It must be kept, since the
    evidence against a failed version goes with its engines.
    """

    model: str
    old_version: str
    new_version: str
    status: RolloutStatus = RolloutStatus.RUNNING

    @property
    def goal(self) -> str:
        """The version that engines are moved to."""
        match self.status:
            case RolloutStatus.RUNNING | RolloutStatus.DONE:
                return self.new_version
            case RolloutStatus.ROLLING_BACK | RolloutStatus.ROLLED_BACK:
                return self.old_version


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStep:
    """The next command for an engine."""

    engine: str
    command: EngineCommand


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPlan:
    """The commands to send now, and the rollout with its new status."""

    rollout: Rollout
    steps: tuple[RolloutStep, ...]


def plan_rollout(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
    now: float,
) -> RolloutPlan:
    """Return what to do next for a rollout.

    An engine is drained, loads the version and resumes. The next one follows
    once those of the new version have proved themselves. At least one engine
    serves at any time: a service with a single engine is not rolled out.
    """
    rollout = dataclasses.replace(
        rollout,
        status=_status(settings, rollout, engines),
    )
    steps = [
        RolloutStep(engine.engine, command)
        for engine in engines
        for command in _finishing(rollout, engine)
    ]
    steps.extend(_starting(settings, rollout, engines, now))
    return RolloutPlan(rollout, tuple(steps))


def _status(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
) -> RolloutStatus:
    moved = all(
        engine.version == rollout.goal and engine.phase is EnginePhase.SERVING
        for engine in engines
    )
    match rollout.status:
        case RolloutStatus.RUNNING if _has_failed(settings, rollout, engines):
            return RolloutStatus.ROLLING_BACK
        case RolloutStatus.RUNNING:
            return RolloutStatus.DONE if moved else RolloutStatus.RUNNING
        case RolloutStatus.ROLLING_BACK if moved:
            return RolloutStatus.ROLLED_BACK
        case status:
            return status


def _has_failed(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
) -> bool:
    new = [
        engine for engine in engines if engine.version == rollout.new_version
    ]
    failed = sum(engine.failed for engine in new)
    answered = failed + sum(engine.answered for engine in new)
    if any(engine.phase is EnginePhase.LOAD_FAILED for engine in engines):
        return True
    if answered < settings.least_answers:
        return False
    return failed > settings.max_failure_share * answered


def _finishing(
    rollout: Rollout,
    engine: EngineVersion,
) -> Iterator[EngineCommand]:
    match engine.phase:
        case EnginePhase.DRAINING if engine.version == rollout.goal:
            yield Resume()
        case EnginePhase.DRAINING if not engine.sequences:
            yield LoadModel(rollout.model, rollout.goal)
        case EnginePhase.LOAD_FAILED:
            yield LoadModel(rollout.model, rollout.goal)


def _starting(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
    now: float,
) -> Iterator[RolloutStep]:
    serving = [
        engine for engine in engines if engine.phase is EnginePhase.SERVING
    ]
    bound = max(int(settings.max_changing_share * len(engines)), 1)
    room = bound - (len(engines) - len(serving))
    room = min(room, len(serving) - 1)
    moved = [engine for engine in serving if engine.version == rollout.goal]
    if not all(_is_proved(settings, engine, now) for engine in moved):
        return
    behind = [engine for engine in serving if engine.version != rollout.goal]
    behind.sort(key=lambda engine: engine.sequences)
    for engine in behind[: max(room, 0)]:
        yield RolloutStep(engine.engine, Drain())


def _is_proved(
    settings: RolloutSettings,
    engine: EngineVersion,
    now: float,
) -> bool:
    if engine.answered + engine.failed >= settings.least_answers:
        return True
    return now - engine.resumed_at >= settings.soak_s
