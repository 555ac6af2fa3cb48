"""Gives a silent target up once another one has accepted the request.

A sound target may be silent for a moment, for the requests of all hosts at
once. A request that is taken from it fails unless another target takes it, and
what the target has done for it is lost. The silent target is therefore waited
for until another one has accepted the request.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType

from .attempts import ResponseTimeouts
from .call_errors import TargetSilentError

RECHECK_S = 0.1  # between looks for another attempt


class SilenceLimit:
    """Ends the wait for a target that is silent.

    Args:
        timeouts: When the target counts as silent.
        is_given_up: Begins another attempt if there is none, and returns
            whether a target has accepted it, or the silent one is gone.
        release: Ends the other attempt: the target has answered.
    """

    def __init__(
        self,
        timeouts: ResponseTimeouts,
        is_given_up: Callable[[], bool],
        release: Callable[[], None],
    ) -> None:
        self.timeouts = timeouts
        self._is_given_up = is_given_up
        self._release = release
        self._waiting: _Wait | None = None
        self._has_asked = False

    def until(self, deadline: float | None) -> '_Wait':
        """Return a context that waits for the target.

        Another attempt goes on after it, until :meth:`release`: what has
        arrived may be no answer.

        Args:
            deadline: When the target counts as silent, by the clock of the
                event loop; ``None`` if it may be silent without limit.

        Raises:
            TargetSilentError: If the target is silent, and another one has
                accepted the request or this one is gone.
        """
        self._waiting = _Wait(deadline, self.is_given_up)
        return self._waiting

    def is_given_up(self) -> bool:
        """Return whether the wait is over, with or without another target."""
        self._has_asked = True
        return self._is_given_up()

    def release(self) -> None:
        """End the other attempt, if there is one: the target has answered."""
        if self._has_asked:
            self._has_asked = False
            self._release()

    def check(self) -> None:
        """Ask at once, not at the next interval, whether the wait is over."""
        if self._waiting is not None:
            self._waiting.check()


def silence_limit(may_give_up: Callable[[], bool]) -> SilenceLimit:
    """Return a limit without reserved attempts.

    Args:
        may_give_up: Returns whether the wait for a silent target ends.
    """
    return SilenceLimit(ResponseTimeouts(), may_give_up, _release_nothing)


def _release_nothing() -> None:
    """Do nothing: no attempt is reserved."""


class _Wait:
    def __init__(
        self,
        deadline: float | None,
        is_given_up: Callable[[], bool],
    ) -> None:
        self._deadline = deadline
        self._is_given_up = is_given_up
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._has_ended = False

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._deadline is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._deadline, self.check)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise TargetSilentError('no answer') from None

    def check(self) -> None:
        """End the wait if it is over."""
        if self._has_ended or self._timer is None:
            return
        self._timer.cancel()
        loop = asyncio.get_running_loop()
        if self._is_given_up():
            self._timeout.reschedule(loop.time())
        else:
            self._timer = loop.call_later(RECHECK_S, self.check)
