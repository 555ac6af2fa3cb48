"""Reads and conditional updates of the object of one journal."""

import dataclasses
import random
from collections.abc import Callable
from typing import TypeVar

from .exceptions import AnswerLostError, ConflictError
from .operations import new_operation_id, write_once
from .orders import JournalRecord, format_record, parse_record
from .store import ABSENT_VERSION, IfAbsent, IfVersion, ObjectStore

UPDATE_ATTEMPTS = 8

_Outcome = TypeVar('_Outcome')


class JournalObject:
    """One journal's stored object, with a cache of its last known record."""

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._key = key
        self._rng = rng
        self._record: JournalRecord | None = None
        self._in_doubt = False

    async def load(self) -> JournalRecord:
        """Read the object.

        Raises:
            StoreError: If the store failed.
        """
        self._record = parse_record(await self._store.read(self._key))
        return self._record

    async def cached(self) -> JournalRecord:
        """Return the last known record, reading it if there is none."""
        return self._record or await self.load()

    async def update(
        self,
        change: Callable[[JournalRecord], JournalRecord | _Outcome],
    ) -> JournalRecord | _Outcome:
        """Replace the record by the result of the change.

        If another process wrote first, the change is called again with a
        fresh record. If it returns something other than a record, that is
        returned and nothing is written. An unchanged record is written only
        if the outcome of an earlier write is unknown: this write prevents
        the earlier one from taking effect later.

        Raises:
            StoreError: If the store failed.
        """
        for _ in range(UPDATE_ATTEMPTS):
            record = await self.cached()
            changed = change(record)
            if not isinstance(changed, JournalRecord):
                return changed
            if changed == record and not self._in_doubt:
                return record
            try:
                return await self._write(changed)
            except ConflictError:
                self._record = None
        raise ConflictError(self._key, None)

    async def _write(self, record: JournalRecord) -> JournalRecord:
        condition: IfAbsent | IfVersion = IfVersion(record.version)
        if record.version == ABSENT_VERSION:
            condition = IfAbsent()
        body = format_record(record, new_operation_id(self._rng))
        try:
            version = await write_once(self._store, self._key, body, condition)
        except AnswerLostError:
            self._record = None
            self._in_doubt = True
            raise
        self._in_doubt = False
        self._record = dataclasses.replace(record, version=version)
        return self._record
