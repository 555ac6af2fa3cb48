"""Sealed windows: the final usage figures of each window."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias

import pydantic
from geranium_model import Usage

from .counted_batches import CountedBatches
from .exceptions import CoordinationError
from .usage_batches import UsageBatch, sum_usage

SEAL_PREFIX = 'usage/sealed/'

_UsageNumbers: TypeAlias = tuple[int, int, int]


class CorruptLedgerError(CoordinationError):
    """A stored object of the usage ledger is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SealedWindow:
    """A window's figures, which never change once it is sealed.

    Args:
        window: Number of the window.
        usage_by_team: Usage of the window, including corrections.
        corrections: The part of the usage that belongs to earlier windows,
            by window.
        accounts: The batches counted in this window or an earlier one.
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
    """Return the window with all batches that earlier windows do not count.

    A repeated batch is counted once.
    """
    accepted = {
        (batch.origin, batch.sequence): batch
        for batch in batches
        if batch.window <= window and accounts.accepts(batch)
    }
    counted = accepted.values()
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
    """A sealed window as stored; plain numbers keep the object small."""

    window: int
    usage_by_team: Mapping[str, _UsageNumbers]
    corrections: Mapping[int, _UsageNumbers]
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
        {
            team: _usage_numbers(usage)
            for team, usage in sealed.usage_by_team.items()
        },
        {
            window: _usage_numbers(usage)
            for window, usage in sealed.corrections.items()
        },
        sealed.accounts,
    )
    return _ADAPTER.dump_python(stored, mode='json')


def _usage_numbers(usage: Usage) -> _UsageNumbers:
    return usage.prompt_tokens, usage.generated_tokens, usage.requests


def seal_key(window: int) -> str:
    """Return the object key of a sealed window."""
    return f'{SEAL_PREFIX}{window}'
