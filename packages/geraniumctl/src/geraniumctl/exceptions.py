"""Exceptions of the command line."""

import dataclasses


class ClientError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(ClientError):
    """Settings are missing or malformed; the message names the field."""


class DocumentFileError(ClientError):
    """A configuration file is malformed.

    Each error starts with the path of the file.
    """

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__('\n'.join(errors))
        self.errors = errors


class RefusedError(ClientError):
    """A host rejected a request."""

    def __init__(self, status: int, title: str, detail: str = '') -> None:
        super().__init__(f'{title}: {detail}' if detail else title)
        self.status = status
        self.title = title
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt to send a request to a host.

    ``maybe_sent`` is whether the request may have reached the host.
    """

    address: str
    reason: str
    maybe_sent: bool


class UnreachableError(ClientError):
    """No host responded."""

    def __init__(self, attempts: tuple[FailedAttempt, ...]) -> None:
        lines = (f'{attempt.address}: {attempt.reason}' for attempt in attempts)
        super().__init__('; '.join(lines))
        self.attempts = attempts

    @property
    def maybe_sent(self) -> bool:
        """Whether the request may have reached a host."""
        return any(attempt.maybe_sent for attempt in self.attempts)
