"""Errors of the stand-ins."""

import aiohttp


class StandinError(Exception):
    """Base class of the errors of this package."""


class PreconditionError(StandinError):
    """A write condition does not match; version 0 means absent."""

    def __init__(self, current_version: int) -> None:
        super().__init__(f'the object is at version {current_version}')
        self.current_version = current_version


class AbsentObjectError(StandinError):
    """No object with this key exists."""


class FencedError(StandinError):
    """An order carries an epoch below the highest one seen."""

    def __init__(self, highest_epoch: int) -> None:
        super().__init__(f'epoch {highest_epoch} is the highest seen')
        self.highest_epoch = highest_epoch


class OrderMismatchError(StandinError):
    """An order id was reused for another command."""


class RefusedError(StandinError):
    """A request was refused before any of it ran."""


class UnservableRequestError(RefusedError):
    """A request was refused because it can never run."""


class WeightsError(StandinError):
    """The weight store did not deliver a piece."""


class HandoffError(StandinError):
    """A KV cache could not be fetched from its engine."""


class ConnectionLostError(StandinError, aiohttp.ClientError):
    """A connection broke before the response to a call."""


class LaunchError(StandinError):
    """A stand-in's process did not start listening."""
