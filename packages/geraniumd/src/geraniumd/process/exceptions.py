"""Exceptions of the daemon."""


class DaemonError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(DaemonError):
    """The settings are invalid; each complaint starts with a field path."""

    def __init__(self, complaints: tuple[str, ...]) -> None:
        super().__init__('; '.join(complaints))
        self.complaints = complaints


class TargetError(DaemonError):
    """A call to a target failed."""


class TargetRefusedError(TargetError):
    """The target executed no part of the call."""


class TargetFailedError(TargetError):
    """The target executed the call and responded with an error."""

    def __init__(self, detail: str, status: int) -> None:
        super().__init__(detail)
        self.status = status


class TargetLostError(TargetError):
    """The connection was lost or timed out after the call was sent."""


class TargetSilentError(TargetLostError):
    """The connection is open, but no data arrived before the timeout."""


class PeerError(DaemonError):
    """A peer connection failed."""


class PeerAuthenticationError(PeerError):
    """A peer failed to prove that it knows the shared secret."""


class FrameError(PeerError):
    """A frame from a peer is malformed."""


class CallerGoneError(DaemonError):
    """The caller closed its connection or stopped reading."""


class OperatorError(DaemonError):
    """An operator's statement can't be executed."""


class OperatorRefusedError(OperatorError):
    """The requested change is not possible; nothing was changed."""


class OperatorConflictError(OperatorError):
    """Another operator's change was applied first; nothing was changed."""


class OperatorUnavailableError(OperatorError):
    """The platform or the peers are unavailable; a retry may succeed."""
