"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base of every error that this package raises."""


class StoreError(CoordinationError):
    """A call to the object store failed."""


class ConflictError(StoreError):
    """A conditional write found another version and took no effect.

    ``present_version`` is the version found, 0 if the object is absent and
    ``None`` if the store did not report it.
    """

    def __init__(self, key: str, present_version: int | None) -> None:
        super().__init__(f'{key} is at version {present_version}')
        self.key = key
        self.present_version = present_version


class UnavailableError(StoreError):
    """The store rejected the call or was unreachable: it took no effect.

    ``retry_after_s`` is the delay that the store asks for before a retry.
    """

    def __init__(
        self,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class AnswerLostError(StoreError):
    """The call was sent without a response: it may have taken effect."""
