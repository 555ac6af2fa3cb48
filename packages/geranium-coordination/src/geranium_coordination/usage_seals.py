"""Sealed windows: the one figure of each window."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias

import pydantic
from geranium_model import Usage

from .counted_batches import CountedBatches
from .exceptions import CoordinationError
from .usage_batches import UsageBatch, sum_usage

SEAL_PREFIX = 'usage/sealed/'

_Numbers: TypeAlias = tuple[int, int, int]


class CorruptLedgerError(CoordinationError):
    """A stored object of the ledger is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SealedWindow:
    """A window's figures, which never change after it was sealed.

    Args:
        window: Number of the window.
        usage_by_team: Usage of the window with all corrections.
        corrections: How much of it fell into which earlier window.
        accounts: The batches that are in this window or an earlier one.
    """

    window: int
    usage_by_team: Mapping[str, Usage]
    corrections: Mapping[int, Usage]
    accounts: CountedBatches


def seal_window(
    window: int,
    accounts: CountedBatches,
    batches: Iterable[UsageBatch],
    late_windows: int,
) -> SealedWindow:
    """Return the window with all batches that earlier ones did not count.

    A batch that is given twice is counted once.
    """
    awaited = {
        (batch.origin, batch.sequence): batch
        for batch in batches
        if batch.window <= window and accounts.accepts(batch)
    }
    counted = awaited.values()
    return SealedWindow(
        window,
        sum_usage(counted),
        _corrections(batch for batch in counted if batch.window < window),
        accounts.count(counted, window, late_windows),
    )


def _corrections(batches: Iterable[UsageBatch]) -> dict[int, Usage]:
    corrections: dict[int, Usage] = {}
    for batch in batches:
        late = sum(batch.usage_by_team.values(), Usage())
        known = corrections.get(batch.window, Usage())
        corrections[batch.window] = known + late
    return corrections


@dataclasses.dataclass(frozen=True, slots=True)
class _SealBody:
    """A sealed window as it is stored: usage as bare numbers, for size."""

    window: int
    usage_by_team: Mapping[str, _Numbers]
    corrections: Mapping[int, _Numbers]
    accounts: CountedBatches


_ADAPTER = pydantic.TypeAdapter(_SealBody)


def decode_seal(body: Any) -> SealedWindow:
    """Return the sealed window that a stored body describes.

    Raises:
        CorruptLedgerError: If the body is malformed.
    """
    try:
        stored = _ADAPTER.validate_python(body)
    except pydantic.ValidationError as error:
        raise CorruptLedgerError(str(error)) from error
    return SealedWindow(
        stored.window,
        {
            team: Usage(*numbers)
            for team, numbers in stored.usage_by_team.items()
        },
        {
            window: Usage(*numbers)
            for window, numbers in stored.corrections.items()
        },
        stored.accounts,
    )


def encode_seal(sealed: SealedWindow) -> Any:
    """Return the sealed window as a JSON value."""
    stored = _SealBody(
        sealed.window,
        {team: _numbers(usage) for team, usage in sealed.usage_by_team.items()},
        {
            window: _numbers(usage)
            for window, usage in sealed.corrections.items()
        },
        sealed.accounts,
    )
    return _ADAPTER.dump_python(stored, mode='json')


def _numbers(usage: Usage) -> _Numbers:
    return usage.prompt_tokens, usage.generated_tokens, usage.requests


def seal_key(window: int) -> str:
    """Return the object key of a sealed window."""
    return f'{SEAL_PREFIX}{window}'
