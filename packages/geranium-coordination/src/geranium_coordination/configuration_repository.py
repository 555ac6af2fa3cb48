"""Loads and changes the configuration in the object store."""

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
    """Loads versions of the configuration and creates new ones.

    Args:
        store: Object store that holds the configuration.
        settings: Sizes and time limits.
        clock: Clock of the time limits.
        announcer: Called before a change that withdraws keys is accepted.
            If it raises, the change is not made.
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
        """Return the newest version; fetch only the segments that changed.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
            CorruptConfigurationError: If what is stored is malformed.
        """
        deadline = self._deadline()
        head = await self._stored.read_head(deadline)
        return await self._load_version(head, known, deadline)

    async def watch(
        self,
        known: LoadedConfiguration,
        store_version: int,
        wait_s: float,
    ) -> tuple[LoadedConfiguration, int]:
        """Wait until the manifest in the store differs from the one seen.

        Returns the newest version and the store's version of the manifest,
        which the caller passes to the next call. The first call passes
        ``ABSENT_VERSION``.

        Raises:
            ConfigurationUnavailableError: If the store was not reached.
            CorruptConfigurationError: If what is stored is malformed.
        """
        head = await self._stored.watch_head(store_version, wait_s)
        loaded = await self._load_version(head, known, self._deadline())
        return loaded, head.version if head else ABSENT_VERSION

    async def change(
        self,
        mutation: Mutation,
        operation_id: str,
        author: str,
        description: str = '',
        expected_version: int | None = None,
    ) -> ChangeOutcome:
        """Make a change; a repeated operation id has no further effect.

        With an expected version the change applies to that version only.
        Without it the mutation is applied again whenever another change was
        accepted first.

        Raises:
            ConfigurationUnavailableError: If it was certainly not made.
            ChangeOutcomeUnknownError: If it may have been made.
            AnnouncementError: If a withdrawal could not be announced; the
                change was not made.
        """
        request = ChangeRequest(
            mutation,
            operation_id,
            author,
            description,
            expected_version,
        )
        return await self._retry_change(request, self._deadline())

    async def collect_garbage(self) -> int:
        """Delete unreferenced segments; return how many.

        Only segments written for a change to an older version are deleted,
        since that change can no longer be accepted.

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

    async def _retry_change(
        self,
        request: ChangeRequest,
        deadline: float,
    ) -> ChangeOutcome:
        outcome = await self._try_change(request, deadline)
        while outcome is None:
            try:
                outcome = await self._try_change(request, deadline)
            except ConfigurationUnavailableError as error:
                # The previous attempt may have been accepted.
                raise ChangeOutcomeUnknownError(request.operation_id) from error
        return outcome

    async def _try_change(
        self,
        request: ChangeRequest,
        deadline: float,
    ) -> ChangeOutcome | None:
        """Try the change once; ``None`` if another change was accepted first."""
        head = await self._stored.read_head(deadline)
        manifest = _manifest_of(head)
        outcome = _settled(manifest, request)
        if outcome is not None:
            return outcome
        held = await self._load_version(head, self._newest, deadline)
        if held.version != manifest.version:
            return None
        plan = await asyncio.to_thread(
            plan_change, held, request, self._settings
        )
        if not isinstance(plan, ChangePlan):
            return plan
        return await self._commit(plan, head, deadline)

    async def _commit(
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

    async def _load_version(
        self,
        head: StoredObject | None,
        known: LoadedConfiguration | None,
        deadline: float,
    ) -> LoadedConfiguration:
        """Return the version of the head, or a newer one, with its segments."""
        held = known or self._newest
        while True:
            manifest = _manifest_of(head)
            if manifest.version <= held.version:
                return held
            missing = held.missing_from(manifest)
            fetched = await self._stored.fetch(missing, deadline)
            if fetched is not None:
                return self._cache_newest(held.advance(manifest, fetched))
            head = await self._newer_head(manifest, deadline)

    async def _newer_head(
        self,
        manifest: Manifest,
        deadline: float,
    ) -> StoredObject | None:
        """Read the head again after one of its segments was not found."""
        head = await self._stored.read_head(deadline)
        if _manifest_of(head).version == manifest.version:
            raise CorruptConfigurationError(
                f'a segment of version {manifest.version} is missing',
            )
        return head

    def _cache_newest(self, loaded: LoadedConfiguration) -> LoadedConfiguration:
        if loaded.version > self._newest.version:
            self._newest = loaded
        return loaded


def _manifest_of(head: StoredObject | None) -> Manifest:
    return Manifest() if head is None else decode_manifest(head.body)


def _settled(
    manifest: Manifest, request: ChangeRequest
) -> ChangeOutcome | None:
    """Return the outcome of a change that is already decided, if it is."""
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
