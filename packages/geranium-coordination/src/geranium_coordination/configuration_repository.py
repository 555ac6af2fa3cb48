"""The configuration in the object store: loading and changing it."""

import asyncio

from .clock import Clock, SystemClock
from .configuration_changes import (
    Announcer,
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRequest,
    Mutation,
)
from .configuration_exceptions import (
    ChangeOutcomeUnknownError,
    ConfigurationUnavailableError,
    CorruptConfigurationError,
)
from .configuration_objects import ConfigurationObjects
from .configuration_plans import ChangePlan, plan_change
from .configuration_settings import ConfigurationSettings
from .loaded_configuration import LoadedConfiguration
from .manifests import SEGMENT_PREFIX, Manifest, decode_manifest
from .segments import base_version
from .store import ABSENT_VERSION, ObjectStore, StoredObject


class ConfigurationRepository:
    """Loads versions of the configuration and makes new ones.

    Args:
        store: Where the configuration is kept.
        settings: Sizes and time limits.
        clock: The clock for time limits.
        announcer: Called before a change that withdraws keys is accepted;
            if it raises, the change is not made.
    """

    def __init__(
        self,
        store: ObjectStore,
        settings: ConfigurationSettings | None = None,
        clock: Clock | None = None,
        announcer: Announcer | None = None,
    ) -> None:
        self._settings = settings or ConfigurationSettings()
        self._clock = clock or SystemClock()
        self._stored = ConfigurationObjects(store, self._settings, self._clock)
        self._announcer = announcer
        self._newest = LoadedConfiguration()

    async def load(
        self,
        known: LoadedConfiguration | None = None,
    ) -> LoadedConfiguration:
        """Return the newest version, fetching only segments that changed.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
            CorruptConfigurationError: If what is stored is malformed.
        """
        deadline = self._deadline()
        head = await self._stored.read_head(deadline)
        return await self._complete(head, known, deadline)

    async def watch(
        self,
        known: LoadedConfiguration,
        store_version: int,
        wait_s: float,
    ) -> tuple[LoadedConfiguration, int]:
        """Wait for a manifest other than the one seen in the store.

        Returns the newest version and the manifest's version in the store,
        to be passed in next time; ``ABSENT_VERSION`` at first.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
            CorruptConfigurationError: If what is stored is malformed.
        """
        head = await self._stored.watch_head(store_version, wait_s)
        loaded = await self._complete(head, known, self._deadline())
        return loaded, head.version if head else ABSENT_VERSION

    async def change(
        self,
        mutation: Mutation,
        operation_id: str,
        author: str,
        description: str = '',
        expected_version: int | None = None,
    ) -> ChangeOutcome:
        """Make a change; the same operation id again changes nothing more.

        With an expected version the change is made upon that one only;
        without it the mutation is applied anew to whatever is newest.

        Raises:
            ConfigurationUnavailableError: If it certainly was not made.
            ChangeOutcomeUnknownError: If it may have been made.
            AnnouncementError: If a withdrawal could not be announced; it
                was not made.
        """
        request = ChangeRequest(
            mutation,
            operation_id,
            author,
            description,
            expected_version,
        )
        return await self._make(request, self._deadline())

    async def collect_garbage(self) -> int:
        """Delete segments that no version refers to; return how many.

        Only those written upon a version that is no longer the newest are
        deleted: the change that wrote them can't be accepted any more.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
        """
        deadline = self._deadline()
        listed = await self._stored.list_segments(deadline)
        manifest = _manifest_of(await self._stored.read_head(deadline))
        kept = manifest.readable_digests()
        unused = [
            stored.key.removeprefix(SEGMENT_PREFIX)
            for stored in listed
            if base_version(stored.body) < manifest.version
        ]
        unused = [digest for digest in unused if digest not in kept]
        await self._stored.delete_segments(unused)
        return len(unused)

    def _deadline(self) -> float:
        return self._clock.now() + self._settings.call_budget_s

    async def _make(
        self,
        request: ChangeRequest,
        deadline: float,
    ) -> ChangeOutcome:
        outcome = await self._attempt(request, deadline)
        while outcome is None:
            try:
                outcome = await self._attempt(request, deadline)
            except ConfigurationUnavailableError as error:
                # The attempt before may have been accepted unseen.
                raise ChangeOutcomeUnknownError(request.operation_id) from error
        return outcome

    async def _attempt(
        self,
        request: ChangeRequest,
        deadline: float,
    ) -> ChangeOutcome | None:
        """Try the change upon the head; ``None`` if another came first."""
        head = await self._stored.read_head(deadline)
        manifest = _manifest_of(head)
        outcome = _settled(manifest, request)
        if outcome is not None:
            return outcome
        held = await self._complete(head, self._newest, deadline)
        if held.version != manifest.version:
            return None
        plan = await asyncio.to_thread(
            plan_change, held, request, self._settings
        )
        if not isinstance(plan, ChangePlan):
            return plan
        return await self._carry_out(plan, head, deadline)

    async def _carry_out(
        self,
        plan: ChangePlan,
        head: StoredObject | None,
        deadline: float,
    ) -> ChangeOutcome | None:
        await self._stored.write_segments(plan.segments, deadline)
        if self._announcer and plan.withdrawal:
            await self._announcer(plan.withdrawal)
        if await self._stored.write_head(plan.manifest, head, deadline):
            await self._stored.delete_segments(plan.expired)
            return ChangeAccepted(plan.manifest.version)
        return None

    async def _complete(
        self,
        head: StoredObject | None,
        known: LoadedConfiguration | None,
        deadline: float,
    ) -> LoadedConfiguration:
        """Fetch what the head's version needs, or a newer one's needs."""
        held = known or self._newest
        while True:
            manifest = _manifest_of(head)
            if manifest.version <= held.version:
                return held
            missing = held.missing_from(manifest)
            fetched = await self._stored.fetch(missing, deadline)
            if fetched is not None:
                return self._remember(held.advance(manifest, fetched))
            head = await self._newer_head(manifest, deadline)

    async def _newer_head(
        self,
        manifest: Manifest,
        deadline: float,
    ) -> StoredObject | None:
        """Read the head again after a segment of its was found deleted."""
        head = await self._stored.read_head(deadline)
        if _manifest_of(head).version == manifest.version:
            raise CorruptConfigurationError(
                f'version {manifest.version} lacks a segment',
            )
        return head

    def _remember(self, loaded: LoadedConfiguration) -> LoadedConfiguration:
        if loaded.version > self._newest.version:
            self._newest = loaded
        return loaded


def _manifest_of(head: StoredObject | None) -> Manifest:
    return Manifest() if head is None else decode_manifest(head.body)


def _settled(
    manifest: Manifest, request: ChangeRequest
) -> ChangeOutcome | None:
    """Return how the change ended already, if it did."""
    made = manifest.change_by(request.operation_id)
    if made is not None:
        return ChangeAccepted(made.version)
    if request.expected_version in {None, manifest.version}:
        return None
    other = manifest.change_after(request.expected_version or 0)
    return ChangeConflict(
        version=manifest.version,
        author=other.author if other else '',
        operation_id=other.operation_id if other else '',
        description=other.description if other else '',
    )
