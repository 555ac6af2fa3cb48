"""Errors of storing and replicating the configuration."""

from .exceptions import CoordinationError


class ConfigurationError(CoordinationError):
    """Base class of configuration errors."""


class ConfigurationUnavailableError(ConfigurationError):
    """The store was unreachable; this call loaded or changed nothing.

    An earlier call with the same operation id whose outcome was unknown may
    still take effect.
    """


class ChangeOutcomeUnknownError(ConfigurationError):
    """A change was sent but the store did not respond; it may be accepted.

    A resend with the same operation id is safe and returns the outcome.
    """

    def __init__(self, operation_id: str) -> None:
        super().__init__(f'the outcome of change {operation_id} is unknown')
        self.operation_id = operation_id


class CorruptConfigurationError(ConfigurationError):
    """A manifest or segment is malformed or does not match its digest."""


class StaleDeltaError(ConfigurationError):
    """A delta does not apply to the local version; load the full one."""


class AnnouncementError(ConfigurationError):
    """Too few voters confirmed a withdrawal; it must not proceed."""
