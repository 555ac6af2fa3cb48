"""Errors of calls to targets, by whether the call may have run."""

from .broken_connections import BrokenConnection


class RelayError(Exception):
    """Base class of the errors of calls to targets.

    ``stale_connection`` is set if a connection that earlier calls had used
    closed, and no part of the response is known to have arrived. A new
    connection may serve the call.
    """

    stale_connection = False


class NotSentError(RelayError):
    """No byte of the call reached the target.

    ``connection`` says which one had ended before the call was written.
    """

    def __init__(
        self, detail: str, *, connection: BrokenConnection | None = None
    ) -> None:
        super().__init__(detail)
        self.connection = connection
        self.stale_connection = connection is not None and connection.is_reused


class NotRunError(RelayError):
    """The target reports that it did not run the call.

    ``misdirected`` is set if another target now has the address.
    ``paused_until`` is the instant until which the target accepts no
    requests from this host, if it asked for a pause.
    """

    def __init__(
        self,
        detail: str,
        *,
        misdirected: bool = False,
        paused_until: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.misdirected = misdirected
        self.paused_until = paused_until


class AnswerLostError(RelayError):
    """The call was sent, but its response is lost or invalid.

    The call may have run. ``broken`` is set if the connection closed, which
    also happens when the target crashes. ``connection`` says which one it was.
    ``response_began`` is unset if no part of the response is known to have
    arrived.
    """

    def __init__(
        self,
        detail: str,
        *,
        broken: bool = False,
        connection: BrokenConnection | None = None,
        response_began: bool = True,
    ) -> None:
        super().__init__(detail)
        self.broken = broken
        self.connection = connection
        is_reused = connection is not None and connection.is_reused
        self.stale_connection = is_reused and not response_began


class TargetSilentError(RelayError):
    """The target sent nothing before the timeout of the call."""
