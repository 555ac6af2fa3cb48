"""Errors of the daemon, by layer."""


class DaemonError(Exception):
    """Base of every error that this package raises."""


class SettingsError(DaemonError):
    """The settings are at fault; each complaint begins with a path."""

    def __init__(self, complaints: tuple[str, ...]) -> None:
        super().__init__('; '.join(complaints))
        self.complaints = complaints


class TargetError(DaemonError):
    """A call to a target failed."""


class TargetRefusedError(TargetError):
    """The target ran nothing of the call."""


class TargetFailedError(TargetError):
    """The target answered that it ran the call and failed."""

    def __init__(self, detail: str, status: int) -> None:
        super().__init__(detail)
        self.status = status


class TargetLostError(TargetError):
    """The connection ended or went silent after the call was sent."""


class TargetSilentError(TargetLostError):
    """The connection stands, but nothing came by the timeout."""


class PeerError(DaemonError):
    """A peer connection failed."""


class PeerAuthenticationError(PeerError):
    """A peer did not prove that it knows the shared secret."""


class FrameError(PeerError):
    """A frame from a peer is malformed."""


class CallerGoneError(DaemonError):
    """The caller closed its connection or stopped reading."""


class OperatorError(DaemonError):
    """An operator's statement can't be carried out."""


class OperatorRefusedError(OperatorError):
    """What the statement asks for is not possible; nothing was changed."""


class OperatorConflictError(OperatorError):
    """Another operator's change came first; nothing was changed."""


class OperatorUnavailableError(OperatorError):
    """The platform or the peers were not reached; try again."""
