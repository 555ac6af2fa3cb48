"""The stages of a daemon's life, from its start to its graceful end."""

import enum

import transitions

from .logs import get_logger


class Stage(enum.Enum):
    """How far a daemon has come."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Lifecycle:
    """Moves through the stages, in their order only.

    Every method that moves raises ``transitions.MachineError`` if the
    stage before was not reached.
    """

    def __init__(self) -> None:
        self._log = get_logger()
        self._machine = transitions.Machine(
            states=Stage,
            initial=Stage.STARTING,
            auto_transitions=False,
            after_state_change=self._note_stage,
        )
        add = self._machine.add_transition
        add('join', Stage.STARTING, Stage.READY)
        add('leave', [Stage.STARTING, Stage.READY], Stage.LEAVING)
        add('drain', Stage.LEAVING, Stage.DRAINING)
        add('finish', Stage.DRAINING, Stage.STOPPED)

    @property
    def stage(self) -> Stage:
        """Return the present stage."""
        stage: Stage = self._machine.state
        return stage

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.stage is Stage.READY

    @property
    def is_leaving(self) -> bool:
        """Tell whether the graceful shutdown has begun."""
        return self.stage not in {Stage.STARTING, Stage.READY}

    def join(self) -> None:
        """Take note that the daemon has a configuration and is announced."""
        self._machine.dispatch('join')

    def leave(self) -> None:
        """Begin the shutdown: callers are told of other hosts."""
        self._machine.dispatch('leave')

    def drain(self) -> None:
        """Take no new connections and finish what runs."""
        self._machine.dispatch('drain')

    def finish(self) -> None:
        """Take note that nothing runs any more."""
        self._machine.dispatch('finish')

    def _note_stage(self) -> None:
        self._log.info('stage_reached', stage=self.stage.value)
