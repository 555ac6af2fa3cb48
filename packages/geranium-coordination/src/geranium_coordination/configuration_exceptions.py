"""Errors of the configuration's replication."""

from .exceptions import CoordinationError


class ConfigurationError(CoordinationError):
    """Base of the errors that concern the configuration."""


class ConfigurationUnavailableError(ConfigurationError):
    """The store was not reached: this call loaded or changed nothing.

    It says nothing of an earlier call with the same operation id whose
    outcome was unknown.
    """


class ChangeOutcomeUnknownError(ConfigurationError):
    """A change was sent and the store went silent: it may be accepted.

    Sending it again with the same operation id is safe and tells.
    """

    def __init__(self, operation_id: str) -> None:
        super().__init__(f'the outcome of change {operation_id} is unknown')
        self.operation_id = operation_id


class CorruptConfigurationError(ConfigurationError):
    """A manifest or a segment is malformed or fails its digest."""


class StaleDeltaError(ConfigurationError):
    """A delta does not fit the version that is held: load the whole."""


class AnnouncementError(ConfigurationError):
    """Too few voters took note of a withdrawal: it must not go ahead."""
