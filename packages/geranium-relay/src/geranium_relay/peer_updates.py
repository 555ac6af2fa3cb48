"""State that hosts send each other several times a second, and its codec."""

import collections
import dataclasses
import enum
import functools
import itertools
import math
import pathlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

import capnp
import xxhash
from geranium_policy.suspects import CrashNotice

from .load_tracker import RANKS, TargetLoad
from .messages import PeerIdentity, PromptPart
from .peer_identities import decode_identity
from .rate_limit_updates import (
    AdvertisedRateLimit,
    decode_rate_limits,
    encode_rate_limits,
)
from .rate_observations import (
    RateObservation,
    decode_observations,
    encode_observations,
)
from .stream_origin_updates import (
    StreamOrigin,
    decode_origins,
    encode_origins,
)
from .target_updates import decode_changes, encode_changes
from .targets import TargetChange
from .zone_reports import (
    ZoneReport,
    bounded_ms,
    bounded_running,
    bounded_tokens,
    decode_report,
    encode_report,
)

MAX_DISPATCHES = 160  # keeps a datagram below 64 kB
CRASH_REPEAT_S = 2.0  # crashes are repeated since datagrams may be lost
MAX_CRASHES = 300  # keeps a datagram below 64 kB
_HASH_CACHE_SIZE = 4096  # keys

KeysByHash: TypeAlias = Mapping[int, str]


class MalformedUpdateError(Exception):
    """A datagram that is not a valid peer update."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchNotice:
    """Prompt parts that were sent to a target, given by its key's hash."""

    target: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisedStoreState:
    """The versions that a host has read from the store, and their ages.

    Args:
        catalogue_version: 0 before the first catalogue.
        catalogue_age_s: Time since the call that confirmed it was sent.
        targets_digest: Digest of the list of targets.
        targets_age_s: Time since the call that read it was sent.
        era: The era of the store in which the host has read both.
    """

    catalogue_version: int
    catalogue_age_s: float
    targets_digest: int
    targets_age_s: float
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdate:
    """The state that a host sends to its peers.

    Args:
        sender: The sending host.
        ready: Whether it accepts callers.
        leaving: Whether it is about to stop.
        unix_s: Its Unix time.
        load_by_target: Its load at targets, by the hash of their keys.
        dispatches: Prompts that it has sent since the last update.
        crashes: Recent crashes.
        usage_by_window: Requests by team, for windows whose counts it failed
            to write to the store.
        known: The versions that it has read from the store.
        target_changes: Recently changed targets of its list.
        departures: Hashes of the keys of targets that have recently
            announced that they leave.
        rate_limits: Limits of targets that it knows.
        origins: Streams that it has begun since the last update.
        sealed_through: The last window of usage known to be sealed.
        unreached: Hashes of the services of which it reaches no target.
        rate_observations: Prefills that it has seen since the last update.
        report: What an aggregator passes on; ``None`` from other hosts.
        waiting_since: Instant on the receiver's clock after which the update
            has arrived. It is not sent.
    """

    sender: PeerIdentity
    ready: bool
    leaving: bool
    unix_s: float
    load_by_target: Mapping[int, TargetLoad]
    dispatches: tuple[DispatchNotice, ...]
    crashes: tuple[CrashNotice, ...]
    usage_by_window: Mapping[int, Mapping[str, int]]
    known: AdvertisedStoreState
    target_changes: tuple[TargetChange, ...] = ()
    departures: tuple[int, ...] = ()
    rate_limits: tuple[AdvertisedRateLimit, ...] = ()
    origins: tuple[StreamOrigin, ...] = ()
    sealed_through: int = 0
    unreached: tuple[int, ...] = ()
    rate_observations: tuple[RateObservation, ...] = ()
    report: ZoneReport | None = None
    waiting_since: float = math.inf

    def arrived_at(self, now: float) -> float:
        """Return the earliest instant at which the update may have arrived.

        Ages in the update count from then.
        """
        return min(now, self.waiting_since)

    def aged(self, waited_s: float) -> 'PeerUpdate':
        """Return the update as it is to be sent after it has waited."""
        known = dataclasses.replace(
            self.known,
            catalogue_age_s=self.known.catalogue_age_s + waited_s,
            targets_age_s=self.known.targets_age_s + waited_s,
        )
        crashes = tuple(
            dataclasses.replace(crash, age_s=crash.age_s + waited_s)
            for crash in self.crashes
        )
        return dataclasses.replace(
            self,
            unix_s=self.unix_s + waited_s,
            known=known,
            crashes=crashes,
            report=None if self.report is None else self.report.aged(waited_s),
        )


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def name_hash(name: str) -> int:
    """Return the hash that identifies a host or a target's key in updates."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Audience(enum.Enum):
    """Hosts of the same zone, which get frequent updates, and the others."""

    NEAR = 'near'
    FAR = 'far'


class Outbox:
    """Collects the dispatches and crashes for the next updates."""

    def __init__(self) -> None:
        self._dispatches_by_audience = {
            audience: collections.deque[DispatchNotice](maxlen=MAX_DISPATCHES)
            for audience in Audience
        }
        self._crashes = collections.deque[tuple[float, CrashNotice]](
            maxlen=MAX_CRASHES
        )

    def record_dispatch(self, key: str, parts: Sequence[PromptPart]) -> None:
        """Queue a prompt that was sent to a target.

        The last part is omitted since it is specific to the request.
        """
        shared = tuple(parts[:-1])
        if not shared:
            return
        self.forward_dispatches((DispatchNotice(name_hash(key), shared),))

    def withdraw_dispatch(self, key: str, parts: Sequence[PromptPart]) -> None:
        """Take back a prompt that its target has not run.

        It stays known to the audiences that have been told already.
        """
        notice = DispatchNotice(name_hash(key), tuple(parts[:-1]))
        for dispatches in self._dispatches_by_audience.values():
            if notice in dispatches:
                dispatches.remove(notice)

    def forward_dispatches(
        self,
        notices: Iterable[DispatchNotice],
        audiences: Iterable[Audience] = Audience,
    ) -> None:
        """Queue dispatches of this host, or of a peer for other peers."""
        known = tuple(notices)
        for audience in audiences:
            self._dispatches_by_audience[audience].extend(known)

    def record_crashes(
        self, notices: Iterable[CrashNotice], now: float
    ) -> None:
        """Queue crashes, which are repeated for ``CRASH_REPEAT_S``."""
        until = now + CRASH_REPEAT_S
        self._crashes.extend((until, notice) for notice in notices)

    def take(
        self,
        audience: Audience,
        now: float,
    ) -> tuple[tuple[DispatchNotice, ...], tuple[CrashNotice, ...]]:
        """Return the dispatches and crashes to send to an audience now."""
        dispatches = self._dispatches_by_audience[audience]
        dispatched = tuple(dispatches)
        dispatches.clear()
        while self._crashes and self._crashes[0][0] <= now:
            self._crashes.popleft()
        return dispatched, tuple(notice for _, notice in self._crashes)


@functools.cache
def _schema() -> Any:
    path = pathlib.Path(__file__).with_name('peers.capnp')
    return capnp.load(str(path))


def encode_peer_update(update: PeerUpdate) -> bytes:
    """Encode an update as a datagram."""
    sender = update.sender
    message = _schema().PeerUpdate.new_message(
        host=sender.host,
        zone=sender.zone,
        front=sender.front,
        address=sender.address,
        incarnation=sender.incarnation,
        capacity=sender.capacity,
        ready=update.ready,
        leaving=update.leaving,
        unixMs=int(update.unix_s * 1000),
        catalogueVersion=update.known.catalogue_version,
        catalogueAgeMs=bounded_ms(update.known.catalogue_age_s),
        targetsDigest=update.known.targets_digest,
        targetsAgeMs=bounded_ms(update.known.targets_age_s),
        loads=[
            {
                'target': target,
                'running': bounded_running(load),
                'tokens': bounded_tokens(load),
            }
            for target, load in update.load_by_target.items()
        ],
        dispatches=_encode_dispatches(update.dispatches),
        crashes=[
            {
                'fingerprint': crash.fingerprint,
                'crash': crash.crash_id,
                'ageMs': int(crash.age_s * 1000),
                'cleared': crash.cleared,
            }
            for crash in update.crashes
        ],
        usage=[
            {'window': window, 'counts': _encode_counts(counts)}
            for window, counts in update.usage_by_window.items()
        ],
        targets=encode_changes(update.target_changes),
        departures=update.departures,
        rateLimits=encode_rate_limits(update.rate_limits),
        origins=encode_origins(update.origins),
        storeEra=update.known.era,
        sealedThrough=update.sealed_through,
        unreached=update.unreached,
        rateObservations=encode_observations(update.rate_observations),
    )
    if update.report is not None:
        message.report = encode_report(update.report)
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_peer_update(datagram: bytes) -> PeerUpdate:
    """Decode the update in a datagram.

    Raises:
        MalformedUpdateError: If the datagram is not a valid update.
    """
    try:
        return _decode(_schema().PeerUpdate.from_bytes_packed(datagram))
    except (capnp.KjException, ValueError) as error:
        raise MalformedUpdateError(str(error)) from error


def _decode(message: Any) -> PeerUpdate:
    return PeerUpdate(
        sender=decode_identity(message),
        ready=message.ready,
        leaving=message.leaving,
        unix_s=message.unixMs / 1000,
        load_by_target={
            load.target: TargetLoad(load.running, _tokens(load.tokens))
            for load in message.loads
        },
        dispatches=tuple(_decode_dispatches(message.dispatches)),
        crashes=tuple(
            CrashNotice(
                crash.fingerprint,
                crash.crash,
                crash.ageMs / 1000,
                crash.cleared,
            )
            for crash in message.crashes
        ),
        usage_by_window={
            usage.window: {count.team: count.requests for count in usage.counts}
            for usage in message.usage
        },
        known=AdvertisedStoreState(
            message.catalogueVersion,
            message.catalogueAgeMs / 1000,
            message.targetsDigest,
            message.targetsAgeMs / 1000,
            message.storeEra,
        ),
        target_changes=tuple(decode_changes(message.targets)),
        departures=tuple(message.departures),
        rate_limits=tuple(decode_rate_limits(message.rateLimits)),
        origins=tuple(decode_origins(message.origins)),
        sealed_through=message.sealedThrough,
        unreached=tuple(message.unreached),
        rate_observations=tuple(decode_observations(message.rateObservations)),
        report=decode_report(message.report),
    )


def _encode_dispatches(
    dispatches: Sequence[DispatchNotice],
) -> dict[str, list[Any]]:
    parts = [part for dispatch in dispatches for part in dispatch.parts]
    return {
        'targets': [dispatch.target for dispatch in dispatches],
        'partCounts': [len(dispatch.parts) for dispatch in dispatches],
        'parts': [part.identity for part in parts],
        'tokens': [part.tokens for part in parts],
    }


def _decode_dispatches(table: Any) -> Iterator[DispatchNotice]:
    parts = map(PromptPart, table.parts, table.tokens)
    for target, count in zip(
        tuple(table.targets), tuple(table.partCounts), strict=True
    ):
        yield DispatchNotice(target, tuple(itertools.islice(parts, count)))


def _encode_counts(counts: Mapping[str, int]) -> list[dict[str, object]]:
    return [
        {'team': team, 'requests': requests}
        for team, requests in counts.items()
    ]


def _tokens(listed: Sequence[int]) -> tuple[float, ...]:
    """Return one count per rank, padded or cut to the local ``RANKS``."""
    known = itertools.chain(listed, itertools.repeat(0))
    return tuple(map(float, itertools.islice(known, RANKS)))
