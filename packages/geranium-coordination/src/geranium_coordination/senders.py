"""Tracks the senders that may still have copies of orders in flight."""

import dataclasses
import math
from typing import Any, Protocol

from .clock import Clock
from .orders import JournalRecord, LateCopyHandling, OrderState, Sender
from .transmissions import Transmission


class HostList(Protocol):
    """The platform's list of hosts."""

    async def listed_hosts(self) -> frozenset[str]:
        """Return the hosts that are alive or leaving.

        Raises:
            StoreError: If the list can't be read.
        """
        ...


class SenderTracker:
    """Decides which senders of a journal may have copies in flight."""

    def __init__(
        self,
        own: Sender,
        hosts: HostList,
        clock: Clock,
        in_flight_bound_s: float,
    ) -> None:
        self.own = own
        self._hosts = hosts
        self._clock = clock
        self._in_flight_bound_s = in_flight_bound_s
        self._transmissions: list[Transmission[Any]] = []
        self._gone_since_by_host: dict[str, float] = {}

    def add(self, transmission: Transmission[Any]) -> None:
        """Track a copy that this session starts to send."""
        self._transmissions.append(transmission)

    @property
    def in_flight_until(self) -> float:
        """The instant after which no copy of this session can arrive."""
        now = self._clock.now()
        self._transmissions = [
            transmission
            for transmission in self._transmissions
            if transmission.in_flight_until > now
        ]
        return max(
            (copy.in_flight_until for copy in self._transmissions),
            default=-math.inf,
        )

    async def is_host_listed(self) -> bool:
        """Return whether this process's host is in the host list.

        Other processes treat a host that is not listed yet as removed.
        """
        return self.own.host in await self._hosts.listed_hosts()

    async def refresh_hosts(self, record: JournalRecord) -> None:
        """Record which senders' hosts are missing from the host list.

        Raises:
            StoreError: If the list can't be read.
        """
        others = {sender.host for sender in record.senders - {self.own}}
        if not others:
            return
        gone = others - await self._hosts.listed_hosts()
        now = self._clock.now()
        self._gone_since_by_host = {
            host: self._gone_since_by_host.get(host, now) for host in gone
        }

    def senders_in_flight(self, record: JournalRecord) -> frozenset[Sender]:
        """Return the senders whose copies may still arrive."""
        return frozenset(filter(self._may_be_in_flight, record.senders))

    def _may_be_in_flight(self, sender: Sender) -> bool:
        now = self._clock.now()
        if sender == self.own:
            return now < self.in_flight_until
        gone_since = self._gone_since_by_host.get(sender.host, math.inf)
        return now < gone_since + self._in_flight_bound_s


def must_await_senders(
    late_copy_handling: LateCopyHandling, record: JournalRecord
) -> bool:
    """Return whether the next order must wait for all senders."""
    match late_copy_handling:
        case LateCopyHandling.REFUSED:
            return False
        case LateCopyHandling.APPLIED:
            return True
        case LateCopyHandling.DEDUPLICATED:
            order = record.order
            return order is not None and order.state is OrderState.FAILED


def prune_senders(
    late_copy_handling: LateCopyHandling,
    record: JournalRecord,
) -> JournalRecord:
    """Remove the senders that no longer matter after the order's end."""
    if must_await_senders(late_copy_handling, record):
        return record
    return dataclasses.replace(record, senders=frozenset())
