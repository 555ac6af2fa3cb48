"""The journals that are used under one authority."""

import asyncio
import dataclasses
import functools

from .authority import Authority
from .journal import OrderJournal
from .journal_context import JournalContext
from .journal_object import JournalObject
from .orders import JournalRecord, OrderReceiver, Sender, parse_record
from .timeouts import TimedStore


class OrderJournals:
    """Opens journals under one authority and releases them together."""

    def __init__(self, context: JournalContext, authority: Authority) -> None:
        self._context = context
        self._authority = authority
        self._journals_by_name: dict[str, OrderJournal] = {}

    def open(self, receiver: OrderReceiver) -> OrderJournal:
        """Return the receiver's journal, the same one each time."""
        journal = self._journals_by_name.get(receiver.name)
        if journal is None:
            journal = OrderJournal(self._context, receiver, self._authority)
            self._journals_by_name[receiver.name] = journal
        return journal

    async def release(self) -> None:
        """Declare for every journal that no copy can still arrive.

        Call it when the work under the lease has ended, also if the lease
        was lost. Nothing may be sent after this call.
        """
        async with asyncio.TaskGroup() as group:
            for journal in self._journals_by_name.values():
                group.create_task(journal.release())


async def release_predecessors(context: JournalContext, host: str) -> None:
    """Remove the senders of earlier processes of this host from all journals.

    Call it when a process starts, before it opens any session, and only if
    no earlier process of this host runs; holding the host's listening port
    proves that. It waits for the in-flight bound.

    Raises:
        StoreError: If the store failed. The call may be repeated.
    """
    settings = context.settings
    store = TimedStore(context.store, context.clock, settings.call_timeout_s)
    gone_by_key = {
        found.key: _senders_on(parse_record(found), host)
        for found in await store.read_prefix(settings.prefix)
    }
    ended_at = context.clock.now()
    await context.clock.sleep_until(ended_at + settings.in_flight_bound_s)
    for key, gone in gone_by_key.items():
        journal = JournalObject(store, key, context.rng)
        await journal.update(functools.partial(_drop_senders, gone))


def _senders_on(record: JournalRecord, host: str) -> frozenset[Sender]:
    return frozenset(row for row in record.senders if row.host == host)


def _drop_senders(
    gone: frozenset[Sender],
    record: JournalRecord,
) -> JournalRecord:
    return dataclasses.replace(record, senders=record.senders - gone)
