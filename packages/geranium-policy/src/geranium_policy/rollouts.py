"""Rolling updates of a service's version, with rollback."""

import dataclasses
import enum
from collections.abc import Iterator, Sequence

from geranium_model import Drain, EngineCommand, LoadModel, Resume


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Limits of a rollout.

    Args:
        max_changing_share: Maximum share of the engines that may be out of
            service at once. One always may if another one serves.
        min_responses: Number of responses that an engine of the new version
            must have given before the next engine is changed, unless
            ``soak_s`` has passed.
        soak_s: Time in service after which an engine counts as proven
            regardless of its number of responses.
        max_failure_share: Maximum share of failed responses of the new
            version. It is checked once there are ``min_responses``.
    """

    max_changing_share: float = 0.2
    min_responses: int = 20
    soak_s: float = 30
    max_failure_share: float = 0.1


class EnginePhase(enum.Enum):
    """The state of an engine during a rollout."""

    SERVING = 'serving'
    DRAINING = 'draining'
    LOADING = 'loading'
    LOAD_FAILED = 'load-failed'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineVersion:
    """An engine's version and its results in a rollout.

    ``answered`` and ``failed`` count its successful and failed responses
    since ``resumed_at``, the instant at which it began to serve its version.
    """

    engine: str
    version: str
    phase: EnginePhase = EnginePhase.SERVING
    sequences: int = 0
    resumed_at: float = float('-inf')
    answered: int = 0
    failed: int = 0


class RolloutStatus(enum.Enum):
    """The status of a rollout."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLING_BACK = 'rolling-back'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A change of a service's version.

    ``status`` is the status in the last plan. The caller must keep it, since
    the failure counts of a failed version are lost when its engines change.
    """

    model: str
    old_version: str
    new_version: str
    status: RolloutStatus = RolloutStatus.RUNNING

    @property
    def target_version(self) -> str:
        """The version that engines change to."""
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
    """The commands to send now and the rollout with its new status."""

    rollout: Rollout
    steps: tuple[RolloutStep, ...]


def plan_rollout(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
    now: float,
) -> RolloutPlan:
    """Return the next steps of a rollout.

    An engine drains, loads the version and resumes. The next engine follows
    once all engines of the new version are proven. At least one engine serves
    at any time, so a service with a single engine is not rolled out.
    """
    rollout = dataclasses.replace(
        rollout,
        status=_status(settings, rollout, engines),
    )
    steps = [
        RolloutStep(engine.engine, command)
        for engine in engines
        for command in _continue_changes(rollout, engine)
    ]
    steps.extend(_start_changes(settings, rollout, engines, now))
    return RolloutPlan(rollout, tuple(steps))


def _status(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
) -> RolloutStatus:
    moved = all(
        engine.version == rollout.target_version
        and engine.phase is EnginePhase.SERVING
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
    if answered < settings.min_responses:
        return False
    return failed > settings.max_failure_share * answered


def _continue_changes(
    rollout: Rollout,
    engine: EngineVersion,
) -> Iterator[EngineCommand]:
    match engine.phase:
        case EnginePhase.DRAINING if engine.version == rollout.target_version:
            yield Resume()
        case EnginePhase.DRAINING if not engine.sequences:
            yield LoadModel(rollout.model, rollout.target_version)
        case EnginePhase.LOAD_FAILED:
            yield LoadModel(rollout.model, rollout.target_version)


def _start_changes(
    settings: RolloutSettings,
    rollout: Rollout,
    engines: Sequence[EngineVersion],
    now: float,
) -> Iterator[RolloutStep]:
    serving = [
        engine for engine in engines if engine.phase is EnginePhase.SERVING
    ]
    bound = max(int(settings.max_changing_share * len(engines)), 1)
    available = bound - (len(engines) - len(serving))
    available = min(available, len(serving) - 1)
    moved = [
        engine for engine in serving if engine.version == rollout.target_version
    ]
    if not all(_is_proven(settings, engine, now) for engine in moved):
        return
    outdated = [
        engine for engine in serving if engine.version != rollout.target_version
    ]
    outdated.sort(key=lambda engine: engine.sequences)
    for engine in outdated[: max(available, 0)]:
        yield RolloutStep(engine.engine, Drain())


def _is_proven(
    settings: RolloutSettings,
    engine: EngineVersion,
    now: float,
) -> bool:
    if engine.answered + engine.failed >= settings.min_responses:
        return True
    return now - engine.resumed_at >= settings.soak_s
