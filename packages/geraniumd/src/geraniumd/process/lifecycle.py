"""Life cycle of a daemon, from start-up to graceful shutdown."""

import enum
import math

import transitions

from .logs import get_logger


class Stage(enum.Enum):
    """Stage of a daemon's life cycle."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Lifecycle:
    """State machine of the stages, which are passed in their order.

    Methods that change the stage raise ``transitions.MachineError`` if the
    transition is not allowed from the current stage.

    ``stops_at`` is when requests that still run are cut, an instant of the
    monotonic clock in seconds; ``inf`` before the shutdown.
    """

    def __init__(self) -> None:
        self.stops_at = math.inf
        self._log = get_logger()
        self._machine = transitions.Machine(
            states=Stage,
            initial=Stage.STARTING,
            auto_transitions=False,
            after_state_change=self._log_stage,
        )
        add = self._machine.add_transition
        add('join', Stage.STARTING, Stage.READY)
        add('leave', [Stage.STARTING, Stage.READY], Stage.LEAVING)
        add('drain', Stage.LEAVING, Stage.DRAINING)
        add('finish', Stage.DRAINING, Stage.STOPPED)

    @property
    def stage(self) -> Stage:
        """Return the current stage."""
        stage: Stage = self._machine.state
        return stage

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be directed to this daemon."""
        return self.stage is Stage.READY

    @property
    def is_leaving(self) -> bool:
        """Return whether the graceful shutdown has begun."""
        return self.stage not in {Stage.STARTING, Stage.READY}

    def join(self) -> None:
        """Become ready: the configuration and the presence are in place."""
        self._machine.dispatch('join')

    def leave(self, stops_at: float) -> None:
        """Begin the shutdown; callers are directed to other hosts."""
        self.stops_at = stops_at
        self._machine.dispatch('leave')

    def drain(self) -> None:
        """Begin to drain: refuse connections and finish running requests."""
        self._machine.dispatch('drain')

    def finish(self) -> None:
        """End the shutdown, when nothing is running any more."""
        self._machine.dispatch('finish')

    def _log_stage(self) -> None:
        self._log.info('stage_reached', stage=self.stage.value)
