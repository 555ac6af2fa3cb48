"""Gives a silent target up once the request has another attempt.

A sound target may be silent for a moment, for the requests of all hosts at
once. A request that is taken from it fails unless another target takes it, and
what the target has done for it is lost. The next attempt is therefore reserved
first, and without one the target is waited for.
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
        reserve: Reserves another attempt and returns whether there is one.
        release: Returns the reserved attempt: the target has answered.
    """

    def __init__(
        self,
        timeouts: ResponseTimeouts,
        reserve: Callable[[], bool],
        release: Callable[[], None],
    ) -> None:
        self.timeouts = timeouts
        self._reserve = reserve
        self._release = release

    def until(self, deadline: float | None) -> '_Wait':
        """Return a context that waits for the target.

        Args:
            deadline: When the target counts as silent, by the clock of the
                event loop; ``None`` if it may be silent without limit.

        Raises:
            TargetSilentError: If the target is silent and another attempt is
                reserved.
        """
        return _Wait(deadline, self._reserve, self._release)


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
        reserve: Callable[[], bool],
        release: Callable[[], None],
    ) -> None:
        self._deadline = deadline
        self._reserve = reserve
        self._release = release
        self._reserved = False
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._deadline is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._deadline, self._check)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise TargetSilentError('no answer') from None
        if self._reserved:
            self._release()

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        self._reserved = self._reserve()
        if self._reserved:
            self._timeout.reschedule(loop.time())
        else:
            self._timer = loop.call_later(RECHECK_S, self._check)
