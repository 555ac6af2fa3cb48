"""Reads and conditionally updates the object of one journal."""

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
    """One journal's object and the state of it that was seen last."""

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

    async def present(self) -> JournalRecord:
        """Return what was seen last, reading it if nothing was."""
        return self._record or await self.load()

    async def update(
        self,
        change: Callable[[JournalRecord], JournalRecord | _Outcome],
    ) -> JournalRecord | _Outcome:
        """Replace the record by what the change makes of it.

        The change is asked again with a fresh record when another process
        wrote first. It may return something else than a record: that is
        passed on and nothing is written. An unchanged record is written
        only if an earlier write is in doubt, which rules that one out.

        Raises:
            StoreError: If the store failed.
        """
        for _ in range(UPDATE_ATTEMPTS):
            record = await self.present()
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
