"""Remembers at which software version streams began.

Targets of several software versions may serve side by side, for instance
during a release, and a stream may go on only at the version that began it. A
caller whose stream breaks off may take it up at any host, also when the host
that began it is gone. Hosts therefore tell each other where streams began.
"""

import collections
import dataclasses
import functools
from collections.abc import Callable, Iterable

from .catalogue import RouteKind
from .messages import IncomingRequest, Job
from .peer_updates import Audience, name_hash
from .stream_origin_updates import MAX_ORIGINS, StreamOrigin
from .targets import Fleet, Stage, Target
from .version_records import VersionRecords
from .waiters import Waiters
from .zone_reports import MS_IN_S

MAX_KEPT_ORIGINS = 50_000  # bounds the memory; the oldest are dropped
MAX_PENDING_ORIGINS = 4096  # not yet sent to an audience


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOriginSettings:
    """How long origins matter.

    Args:
        lifetime_s: Time after which no caller takes up a stream any more.
        max_wait_s: Maximum wait for a peer's update with an origin.
    """

    lifetime_s: float = 30
    max_wait_s: float = 0.5


class StreamOrigins:
    """Keeps the versions at which streams began, by the id of their attempt.

    Args:
        fleet: The targets.
        records: Services that had several versions lately.
        settings: How long origins matter.
        clock: Returns the current time in seconds.
        unix_time: Returns the cluster's Unix time in seconds.

    ``request_read`` is called to have the list of targets read now.
    """

    def __init__(
        self,
        fleet: Fleet,
        records: VersionRecords,
        settings: StreamOriginSettings,
        clock: Callable[[], float],
        unix_time: Callable[[], float],
    ) -> None:
        self.request_read: Callable[[], None] = _request_nothing
        self._fleet = fleet
        self._waiters = Waiters(clock)
        fleet.reads.on_listed = self._waiters.wake
        self.records = records
        self._settings = settings
        self._clock = clock
        self._unix_time = unix_time
        self._origins_by_stream: collections.OrderedDict[
            int, tuple[str, float]
        ] = collections.OrderedDict()
        self._pending_by_audience = {
            audience: collections.deque[StreamOrigin](
                maxlen=MAX_PENDING_ORIGINS
            )
            for audience in Audience
        }

    def record(self, identity: str, version: str) -> None:
        """Record the version at which an attempt began a stream."""
        origin = StreamOrigin(name_hash(identity), version)
        self.record_peer_origins((origin,))
        self.forward((origin,))

    def record_peer_origins(self, origins: Iterable[StreamOrigin]) -> None:
        """Record the origins in a peer's update."""
        now = self._clock()
        for origin in origins:
            self._origins_by_stream[origin.stream] = origin.version, now
            self._origins_by_stream.move_to_end(origin.stream)
        self._waiters.wake()
        self._prune(now)

    def forward(
        self,
        origins: Iterable[StreamOrigin],
        audiences: Iterable[Audience] = Audience,
    ) -> None:
        """Queue origins of this host, or of a peer for other peers."""
        known = tuple(origins)
        for audience in audiences:
            self._pending_by_audience[audience].extend(known)

    def take(self, audience: Audience) -> tuple[StreamOrigin, ...]:
        """Return the origins to send to an audience now, the latest first."""
        pending = self._pending_by_audience[audience]
        count = min(len(pending), MAX_ORIGINS)
        return tuple(pending.pop() for _ in range(count))

    async def find(self, identity: str | None, service: str) -> str | None:
        """Return the version at which a stream of a service began.

        If it is not known, waits for the next updates of peers and for a list
        of targets that is not older than this call. ``None`` if none of them
        says it.
        """
        asked_at = self._clock()
        ends_at = asked_at + self._settings.max_wait_s
        reads = self._fleet.reads
        is_known = functools.partial(self._is_known, identity)
        await self._wait_until(
            lambda: is_known() or reads.listed_at >= asked_at, ends_at
        )
        if not is_known():
            version = await self._only_version(service, asked_at)
            if version is not None or identity is None:
                return version
            await self._wait_until(is_known, ends_at)
        return self._known(identity)

    async def confirm_list(self) -> bool:
        """Return whether the list shows the versions of all targets.

        If it does not, since this host could not read it for a while, waits
        until it is read.
        """
        ends_at = self._clock() + self._settings.max_wait_s
        return await self._wait_until(self.is_list_followed, ends_at)

    def is_list_followed(self) -> bool:
        """Return whether the list shows the versions of all targets now."""
        return self._fleet.reads.is_followed(self._clock())

    def version_of(self, arrival: IncomingRequest) -> str | None:
        """Return the version at which a request began its stream, if known."""
        return self._known(arrival.began_as or arrival.identity)

    def other_versions(self, service: str, version: str) -> frozenset[str]:
        """Return the keys of targets at which a stream can't go on.

        Engines that only prefill write no events.
        """
        return frozenset(
            target.key
            for target in self._fleet.of_service(service)
            if target.software_version != version
            and target.stage is not Stage.PREFILL
        )

    async def _wait_until(
        self, condition: Callable[[], bool], ends_at: float
    ) -> bool:
        """Wait for origins and a new list, and return whether it holds."""
        if condition():
            return True
        self.request_read()
        return await self._waiters.wait_until(condition, ends_at)

    def _is_known(self, identity: str | None) -> bool:
        return self._known(identity) is not None

    def _known(self, identity: str | None) -> str | None:
        """Return the version in the origin of a stream, if it is known."""
        if identity is None:
            return None
        origin = self._origins_by_stream.get(name_hash(identity))
        return None if origin is None else origin[0]

    async def _only_version(self, service: str, asked_at: float) -> str | None:
        """Return the version of all targets, if there was no other lately.

        A list that is older than the question may lack targets that have
        begun streams since.
        """
        if self._fleet.reads.listed_at < asked_at:
            return None
        lifetime_s = self._settings.lifetime_s
        now = self._clock()
        versions = self._fleet.versions_since(service, now - lifetime_s)
        if len(versions) != 1:
            return None
        version = next(iter(versions))
        known_s = now - self._fleet.reads.followed_since
        if known_s >= lifetime_s:
            return version
        if self._has_young_targets(service, known_s + lifetime_s):
            return None
        if await self.records.may_have_begun_elsewhere(service, version):
            return None
        return version

    def _has_young_targets(self, service: str, age_s: float) -> bool:
        """Return whether targets are so young that no record may name them."""
        oldest_ms = (self._unix_time() - age_s) * MS_IN_S
        targets = self._fleet.of_service(service)
        return any(target.born_ms > oldest_ms for target in targets)

    def _prune(self, now: float) -> None:
        origins = self._origins_by_stream
        oldest = now - self._settings.lifetime_s
        while origins:
            _, recorded_at = next(iter(origins.values()))
            if recorded_at > oldest and len(origins) <= MAX_KEPT_ORIGINS:
                return
            origins.popitem(last=False)


def _request_nothing() -> None:
    """Do nothing: the list is read at intervals only."""


class StreamVersion:
    """The software version at which the stream of a request may go on.

    Args:
        job: The request.
        origins: Where streams began.
        version: The version, if another host has told it.
    """

    def __init__(
        self, job: Job, origins: StreamOrigins, version: str | None = None
    ) -> None:
        self._job = job
        self._origins = origins
        self._version = version

    @property
    def known(self) -> str | None:
        """The version, if the stream has begun at one that is known."""
        return self._version

    async def resolve(self) -> bool:
        """Look up where a stream that the caller takes up began.

        Returns:
            Whether it is known where the stream may go on, or begin.
        """
        arrival = self._job.arrival
        if self._job.route.kind is not RouteKind.STREAM:
            return True
        if arrival.resume_after is None or self._version is not None:
            return True
        self._version = await self._origins.find(
            arrival.began_as, self._job.service
        )
        return self._version is not None

    async def confirm(self) -> bool:
        """Return whether it is known which targets have the version.

        A stream that has not begun may begin at any.
        """
        if self._version is None:
            return True
        return await self._origins.confirm_list()

    def is_confirmed(self) -> bool:
        """Return whether it is known now which targets have the version."""
        return self._version is None or self._origins.is_list_followed()

    def record_first_event(self, target: Target) -> None:
        """Record that the caller gets the first event from a target."""
        self.record_version(target.software_version)

    def record_version(self, version: str) -> None:
        """Record the version at which the caller's first event was made."""
        self._version = version
        arrival = self._job.arrival
        self._origins.record(arrival.began_as or arrival.identity, version)

    def excluded(self) -> frozenset[str]:
        """Return the keys of targets at which the stream can't go on."""
        if self._version is None:
            return frozenset()
        return self._origins.other_versions(self._job.service, self._version)
