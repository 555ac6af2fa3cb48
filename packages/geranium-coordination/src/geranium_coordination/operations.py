"""Conditional writes that resolve lost responses by reading back."""

import random
from typing import Any

from .exceptions import AnswerLostError, ConflictError, UnavailableError
from .store import (
    ABSENT_VERSION,
    IfAbsent,
    IfVersion,
    ObjectStore,
    StoredObject,
    era_of,
)

OPERATION_FIELD = 'operation'
WRITE_ATTEMPTS = 4
_OPERATION_BYTES = 8


def new_operation_id(rng: random.Random) -> str:
    """Return a unique operation identifier."""
    return rng.randbytes(_OPERATION_BYTES).hex()


def get_operation_id(found: StoredObject | None) -> str | None:
    """Return the identifier of the operation that wrote the object."""
    if found is None or not isinstance(found.body, dict):
        return None
    operation: str | None = found.body.get(OPERATION_FIELD)
    return operation


def expected_version(condition: IfAbsent | IfVersion) -> int:
    """Return the only version that meets the condition."""
    match condition:
        case IfAbsent():
            return ABSENT_VERSION
        case IfVersion(version):
            return version


def is_of_other_era(version: int, expected: int) -> bool:
    """Return whether the store was restored since it had a version.

    Nothing is known of a store that had no object.
    """
    return expected != ABSENT_VERSION and era_of(version) != era_of(expected)


async def write_once(
    store: ObjectStore,
    key: str,
    body: dict[str, Any],
    condition: IfAbsent | IfVersion,
) -> int:
    """Write a body that carries an operation id and return its version.

    After a lost response, the object is read back and its operation id is
    compared. The condition names one version, so a repeated write takes
    effect at most once.

    Raises:
        ConflictError: If another write came first, or came after this one
            before it could be read back, or if the store was restored
            meanwhile: the version that the write replaced is then another
            state than the caller has read.
        AnswerLostError: If it is still unknown whether the write took
            effect; it may still do so.
        UnavailableError: If it certainly took no effect.
    """
    for _ in range(WRITE_ATTEMPTS):
        try:
            return await store.write(key, body, condition)
        except AnswerLostError:
            version = await _read_back(store, key, body, condition)
        if version is not None:
            return version
    raise AnswerLostError(f'{key}: the write got no response')


async def _read_back(
    store: ObjectStore,
    key: str,
    body: dict[str, Any],
    condition: IfAbsent | IfVersion,
) -> int | None:
    """Return the write's version, or ``None`` if it has had no effect yet."""
    try:
        found = await store.read(key)
    except UnavailableError as error:
        raise AnswerLostError(f'{key} could not be read back') from error
    if found and get_operation_id(found) == body[OPERATION_FIELD]:
        if is_of_other_era(found.version, expected_version(condition)):
            raise ConflictError(key, found.version)
        return found.version
    present = found.version if found else ABSENT_VERSION
    if present != expected_version(condition):
        raise ConflictError(key, present)
    return None
