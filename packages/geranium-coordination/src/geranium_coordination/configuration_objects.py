"""Reads and writes the configuration's manifest and segments."""

import functools
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, TypeVar

from .clock import Clock
from .configuration_exceptions import (
    ChangeOutcomeUnknownError,
    ConfigurationUnavailableError,
)
from .configuration_settings import ConfigurationSettings
from .exceptions import (
    AnswerLostError,
    ConflictError,
    StoreError,
    UnavailableError,
)
from .manifests import (
    MANIFEST_KEY,
    SEGMENT_PREFIX,
    Manifest,
    encode_manifest,
    segment_key,
)
from .retrier import Retrier, gather_limited
from .segments import Segment, read_segment
from .store import (
    Condition,
    IfAbsent,
    IfVersion,
    ObjectStore,
    StoredObject,
    Unconditional,
)

_Answer = TypeVar('_Answer')


class ConfigurationObjects:
    """Access to manifest and segments that retries until a deadline.

    Deadlines are instants on the clock.
    """

    def __init__(
        self,
        store: ObjectStore,
        settings: ConfigurationSettings,
        clock: Clock,
    ) -> None:
        self._store = store
        self._settings = settings
        self._retrier = Retrier(clock, settings.retry_delay_s)

    async def read_head(self, deadline: float) -> StoredObject | None:
        """Return the manifest object, ``None`` before the first change.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
        """
        return await self._retried(
            lambda: self._store.read(MANIFEST_KEY),
            deadline,
        )

    async def watch_head(
        self,
        store_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the manifest object differs from the one seen.

        Returns the object, also an unchanged one when the wait is over.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
        """
        try:
            return await self._store.watch(MANIFEST_KEY, store_version, wait_s)
        except StoreError as error:
            raise ConfigurationUnavailableError(str(error)) from error

    async def fetch(
        self,
        digests_by_name: Mapping[str, str],
        deadline: float,
    ) -> list[Segment] | None:
        """Return the segments, ``None`` if one of them does not exist.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
            CorruptConfigurationError: If a segment does not match its
                digest.
        """
        if len(digests_by_name) >= self._settings.bulk_threshold:
            listed = await self.list_segments(deadline)
        else:
            listed = await self._read_each(digests_by_name.values(), deadline)
        bodies = {
            stored.key.removeprefix(SEGMENT_PREFIX): stored.body
            for stored in listed
        }
        if any(digest not in bodies for digest in digests_by_name.values()):
            return None
        return [
            read_segment(name, bodies[digest], digest)
            for name, digest in digests_by_name.items()
        ]

    async def list_segments(self, deadline: float) -> list[StoredObject]:
        """Return every segment object, including unreferenced ones."""
        listed = await self._retried(
            lambda: self._store.read_prefix(SEGMENT_PREFIX),
            deadline,
        )
        return list(listed)

    async def write_segments(
        self,
        segments: Iterable[Segment],
        deadline: float,
    ) -> None:
        """Write segments; an existing one is rewritten with the same body.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
        """
        await gather_limited(
            functools.partial(self._write_segment, deadline),
            segments,
            self._settings.parallel_calls,
        )

    async def write_head(
        self,
        manifest: Manifest,
        replaced: StoredObject | None,
        deadline: float,
    ) -> bool:
        """Replace the manifest; return whether this write took effect.

        The conditional write is repeated after a lost response. If the first
        one took effect, the second one conflicts, so on ``False`` the caller
        looks up the operation in the newest manifest.

        Raises:
            ConfigurationUnavailableError: If it was certainly not replaced.
            ChangeOutcomeUnknownError: If it may have been.
        """
        body = encode_manifest(manifest)
        condition = _condition(replaced)
        operation_id = manifest.changes[-1].operation_id
        sent = False
        while True:
            try:
                return await self._replace_head(body, condition)
            except (AnswerLostError, UnavailableError) as error:
                sent = sent or isinstance(error, AnswerLostError)
                if self._retrier.is_past(deadline):
                    raise _unavailable_error(operation_id, sent) from error
                await self._retrier.back_off(error)

    async def delete_segments(self, digests: Iterable[str]) -> None:
        """Delete unreferenced segments; ignore failures of the store."""
        await gather_limited(
            self._delete_segment,
            digests,
            self._settings.parallel_calls,
        )

    async def _replace_head(self, body: Any, condition: Condition) -> bool:
        try:
            await self._store.write(MANIFEST_KEY, body, condition)
        except ConflictError:
            return False
        return True

    async def _read_each(
        self,
        digests: Iterable[str],
        deadline: float,
    ) -> list[StoredObject]:
        found = await gather_limited(
            functools.partial(self._read_segment, deadline),
            digests,
            self._settings.parallel_calls,
        )
        return [stored for stored in found if stored is not None]

    async def _read_segment(
        self,
        deadline: float,
        digest: str,
    ) -> StoredObject | None:
        return await self._retried(
            lambda: self._store.read(segment_key(digest)),
            deadline,
        )

    async def _write_segment(self, deadline: float, segment: Segment) -> None:
        await self._retried(
            lambda: self._store.write(
                segment_key(segment.digest),
                segment.body(),
                Unconditional(),
            ),
            deadline,
        )

    async def _delete_segment(self, digest: str) -> None:
        try:
            await self._store.delete(segment_key(digest), Unconditional())
        except StoreError:
            # Garbage collection deletes the remaining ones later.
            return

    async def _retried(
        self,
        call: Callable[[], Awaitable[_Answer]],
        deadline: float,
    ) -> _Answer:
        try:
            return await self._retrier.run(call, deadline)
        except StoreError as error:
            raise ConfigurationUnavailableError(str(error)) from error


def _condition(replaced: StoredObject | None) -> Condition:
    if replaced is None:
        return IfAbsent()
    return IfVersion(replaced.version)


def _unavailable_error(operation_id: str, sent: bool) -> Exception:
    if sent:
        return ChangeOutcomeUnknownError(operation_id)
    return ConfigurationUnavailableError(
        f'change {operation_id} was not made: the store is unavailable',
    )
