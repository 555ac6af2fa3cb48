"""Errors of the stand-ins."""

import aiohttp


class StandinError(Exception):
    """Base of every error that this package raises."""


class PreconditionError(StandinError):
    """A conditional write found another version; 0 stands for absent."""

    def __init__(self, current_version: int) -> None:
        super().__init__(f'the object is at version {current_version}')
        self.current_version = current_version


class AbsentObjectError(StandinError):
    """There is no object of this key."""


class FencedError(StandinError):
    """An order carries an epoch below the highest one seen."""

    def __init__(self, highest_epoch: int) -> None:
        super().__init__(f'epoch {highest_epoch} has given orders')
        self.highest_epoch = highest_epoch


class OrderMismatchError(StandinError):
    """An order id came again with another order."""


class RefusedError(StandinError):
    """A request is refused before any of it ran."""


class UnservableRequestError(RefusedError):
    """A request is refused because it could never run."""


class WeightsError(StandinError):
    """The weight store did not deliver a piece."""


class HandoffError(StandinError):
    """A KV cache could not be fetched from its engine."""


class ConnectionLostError(StandinError, aiohttp.ClientError):
    """A connection broke before the answer to a call."""


class LaunchError(StandinError):
    """A stand-in's process ended before it listened."""
