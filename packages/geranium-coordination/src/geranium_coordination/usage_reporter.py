"""Seals and reports usage windows; runs on the host that holds the lease."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol, TypeAlias, TypeVar

import pydantic
from geranium_model import Usage

from .clock import Clock, SystemClock
from .counted_batches import CountedBatches
from .exceptions import ConflictError, CoordinationError, StoreError
from .retrier import Retrier
from .store import IfAbsent, IfVersion, ObjectStore, StoredObject
from .usage_batches import UsageBatch
from .usage_seals import (
    CorruptLedgerError,
    SealedWindow,
    decode_seal,
    encode_seal,
    seal_key,
    seal_window,
)
from .usage_settings import UsageSettings

HEAD_KEY = 'usage/head'

_Answer = TypeVar('_Answer')


class LedgerUnavailableError(CoordinationError):
    """The store was unreachable; a later call resumes the work."""


class AuthorityLostError(CoordinationError):
    """The reporter's lease has expired; nothing was submitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """A sealed window as it is submitted to the platform.

    The same window always has the same ``report_id`` and figures.
    """

    window: int
    report_id: str
    epoch: int
    usage_by_team: Mapping[str, Usage]


class UsageCollector(Protocol):
    """Collects batches from reachable hosts; implemented by the daemon."""

    async def collect(self, through_window: int) -> tuple[UsageBatch, ...]:
        """Return the batches up to this window."""
        ...


class UsageSubmitter(Protocol):
    """Sends reports to the platform; implemented by the daemon."""

    async def submit(self, report: UsageReport) -> None:
        """Submit a report; return once the platform has accepted it.

        After any error the window is submitted again.
        """
        ...


_Authority: TypeAlias = Callable[[], int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    """The first window ever and the last submitted one."""

    first_window: int
    submitted_to: int
    stored_version: int


_HEAD_ADAPTER = pydantic.TypeAdapter(_Head)


class UsageReporter:
    """Seals each window once and submits the sealed figures.

    Several reporters may run concurrently. A window is sealed by creating an
    object that must not exist yet, and only the stored object is submitted.

    Args:
        store: Object store that holds the sealed windows.
        collector: Collects the batches of all hosts.
        submitter: Sends reports to the platform.
        authority: Returns the lease's epoch while the lease outlasts a
            report, else ``None``.
        settings: Time limits.
        clock: Clock of the time limits.
    """

    def __init__(
        self,
        store: ObjectStore,
        collector: UsageCollector,
        submitter: UsageSubmitter,
        authority: _Authority,
        settings: UsageSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._store = store
        self._collector = collector
        self._submitter = submitter
        self._authority = authority
        self._settings = settings or UsageSettings()
        self._clock = clock or SystemClock()
        self._retrier = Retrier(self._clock, self._settings.retry_delay_s)

    async def report(self, through_window: int) -> CountedBatches:
        """Seal and submit every pending window up to this one.

        The caller passes a window that has ended and whose late batches have
        had time to arrive. The very first call determines the first window.
        Returns the counted batches, which ledgers can prune.

        Raises:
            LedgerUnavailableError: If the store was not reached.
            AuthorityLostError: If the lease has expired.
            CorruptLedgerError: If a stored object is malformed.
        """
        head = await self._read_head(through_window)
        accounts = await self._counted_after(head.submitted_to, head)
        for window in range(head.submitted_to + 1, through_window + 1):
            sealed = await self._seal(window, accounts)
            await self._submit(sealed)
            accounts = sealed.accounts
            head = await self._record_submitted(head, window)
        return accounts

    async def _counted_after(self, window: int, head: _Head) -> CountedBatches:
        if window < head.first_window:
            return CountedBatches()
        sealed = await self._read_seal(window)
        if sealed is None:
            raise CorruptLedgerError(f'sealed window {window} is missing')
        return sealed.accounts

    async def _seal(
        self,
        window: int,
        accounts: CountedBatches,
    ) -> SealedWindow:
        """Return the sealed window; the first reporter to write it wins."""
        sealed = await self._read_seal(window)
        if sealed is not None:
            return sealed
        batches = await self._collector.collect(window)
        proposed = seal_window(
            window,
            accounts,
            batches,
            self._settings.late_windows,
        )
        await self._create(seal_key(window), encode_seal(proposed))
        sealed = await self._read_seal(window)
        if sealed is None:
            raise LedgerUnavailableError(f'window {window} was not sealed')
        return sealed

    async def _submit(self, sealed: SealedWindow) -> None:
        epoch = self._authority()
        if epoch is None:
            raise AuthorityLostError(f'window {sealed.window}')
        await self._submitter.submit(
            UsageReport(
                sealed.window,
                f'window-{sealed.window}',
                epoch,
                sealed.usage_by_team,
            ),
        )

    async def _read_seal(self, window: int) -> SealedWindow | None:
        stored = await self._retried(
            lambda: self._store.read(seal_key(window)),
        )
        return None if stored is None else decode_seal(stored.body)

    async def _read_head(self, window: int) -> _Head:
        stored = await self._retried(lambda: self._store.read(HEAD_KEY))
        if stored is None:
            await self._create(HEAD_KEY, _encode_head(window, window - 1))
            stored = await self._retried(lambda: self._store.read(HEAD_KEY))
        if stored is None:
            raise LedgerUnavailableError('the head was not created')
        return _decode_head(stored)

    async def _record_submitted(self, head: _Head, window: int) -> _Head:
        """Record the window as submitted, unless it already is."""
        if head.submitted_to >= window:
            return head
        body = _encode_head(head.first_window, window)
        condition = IfVersion(head.stored_version)
        try:
            version = await self._retried(
                lambda: self._store.write(HEAD_KEY, body, condition),
            )
        except ConflictError:
            return await self._read_head(window)
        return _Head(head.first_window, window, version)

    async def _create(self, key: str, body: Any) -> None:
        try:
            await self._retried(
                lambda: self._store.write(key, body, IfAbsent()),
            )
        except ConflictError:
            # Another reporter created it, or a write whose response was
            # lost.
            return

    async def _retried(
        self,
        call: Callable[[], Awaitable[_Answer]],
    ) -> _Answer:
        deadline = self._clock.now() + self._settings.call_budget_s
        try:
            return await self._retrier.run(call, deadline)
        except ConflictError:
            raise
        except StoreError as error:
            raise LedgerUnavailableError(str(error)) from error


def _encode_head(first_window: int, submitted_to: int) -> Any:
    return {'first_window': first_window, 'submitted_to': submitted_to}


def _decode_head(stored: StoredObject) -> _Head:
    try:
        return _HEAD_ADAPTER.validate_python(
            {**stored.body, 'stored_version': stored.version},
        )
    except (pydantic.ValidationError, TypeError) as error:
        raise CorruptLedgerError(str(error)) from error
