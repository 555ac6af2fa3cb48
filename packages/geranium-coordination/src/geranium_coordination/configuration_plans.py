"""Plans the writes of a change without calling the store."""

import dataclasses
from collections.abc import Iterable, Mapping

from geranium_model import (
    ConfigurationDocument,
    DocumentError,
    ModelError,
    parse_document,
)

from .configuration_changes import (
    ChangeAccepted,
    ChangeRejected,
    ChangeRequest,
    PendingWithdrawal,
)
from .configuration_settings import ConfigurationSettings
from .loaded_configuration import LoadedConfiguration
from .manifests import ChangeRecord, Manifest, RetiredSegment, SegmentEntry
from .segments import (
    EMPTY_TEXT,
    Segment,
    make_segment,
    split_document,
    withdrawn_digests,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """The segments and the manifest that a change writes.

    ``expired`` are digests of segments that can be deleted once the change
    is accepted.
    """

    manifest: Manifest
    segments: tuple[Segment, ...]
    expired: tuple[str, ...]
    withdrawal: PendingWithdrawal | None


def plan_change(
    held: LoadedConfiguration,
    request: ChangeRequest,
    settings: ConfigurationSettings,
) -> ChangePlan | ChangeAccepted | ChangeRejected:
    """Return the writes that change the held version, or the outcome."""
    try:
        document = _apply_mutation(held, request)
    except DocumentError as faulty:
        return ChangeRejected(faulty.errors)
    except ModelError as error:
        return ChangeRejected((str(error),))
    texts_by_name = split_document(
        document,
        settings.team_buckets,
        settings.target_buckets,
    )
    for emptied in held.segments_by_name.keys() - texts_by_name.keys():
        # Keeping emptied segments lets a delta omit a list of removed
        # names.
        texts_by_name[emptied] = EMPTY_TEXT
    oversized = tuple(
        _find_oversized(texts_by_name, settings.segment_limit_bytes)
    )
    if oversized:
        return ChangeRejected(oversized)
    if _is_unchanged(held, texts_by_name):
        return ChangeAccepted(held.version)
    return _ChangePlanner(held, request, settings).plan(texts_by_name)


class _ChangePlanner:
    """Plans the change from the held version to new segment texts."""

    def __init__(
        self,
        held: LoadedConfiguration,
        request: ChangeRequest,
        settings: ConfigurationSettings,
    ) -> None:
        self._held = held
        self._request = request
        self._settings = settings
        self._version = held.version + 1
        self._origin = f'{held.version}:{request.operation_id}'

    def plan(self, texts_by_name: Mapping[str, str]) -> ChangePlan:
        """Return the plan that gives the segments these texts."""
        written = tuple(self._changed_segments(texts_by_name))
        retired = self._retired(texts_by_name, written)
        oldest_kept = self._version - self._settings.kept_versions
        return ChangePlan(
            manifest=Manifest(
                self._version,
                self._entries(texts_by_name, written),
                self._changes(),
                tuple(item for item in retired if item.version > oldest_kept),
            ),
            segments=written,
            expired=tuple(
                item.digest for item in retired if item.version <= oldest_kept
            ),
            withdrawal=self._withdrawal(texts_by_name, written),
        )

    def _changed_segments(
        self,
        texts_by_name: Mapping[str, str],
    ) -> Iterable[Segment]:
        for name, text in texts_by_name.items():
            known = self._held.segments_by_name.get(name)
            if known is None or known.text != text:
                yield make_segment(name, text, self._origin)

    def _entries(
        self,
        texts_by_name: Mapping[str, str],
        written: Iterable[Segment],
    ) -> dict[str, SegmentEntry]:
        entries = {
            name: entry for name, entry in self._held.manifest.segments.items()
        }
        for segment in written:
            entries[segment.name] = SegmentEntry(segment.digest, self._version)
        return entries

    def _retired(
        self,
        texts_by_name: Mapping[str, str],
        written: Iterable[Segment],
    ) -> tuple[RetiredSegment, ...]:
        replaced = {segment.name for segment in written}
        newly = tuple(
            RetiredSegment(segment.digest, self._version)
            for name, segment in self._held.segments_by_name.items()
            if name in replaced or name not in texts_by_name
        )
        return (*self._held.manifest.retired, *newly)

    def _changes(self) -> tuple[ChangeRecord, ...]:
        record = ChangeRecord(
            self._version,
            self._request.operation_id,
            self._request.author,
            self._request.description,
        )
        changes = (*self._held.manifest.changes, record)
        return changes[-self._settings.kept_changes :]

    def _withdrawal(
        self,
        texts_by_name: Mapping[str, str],
        written: Iterable[Segment],
    ) -> PendingWithdrawal | None:
        before = (
            segment.text
            for name, segment in self._held.segments_by_name.items()
            if texts_by_name.get(name) != segment.text
        )
        after = (segment.text for segment in written)
        digests = tuple(withdrawn_digests(before, after))
        if not digests:
            return None
        return PendingWithdrawal(
            self._request.operation_id,
            self._held.version,
            digests,
        )


def _apply_mutation(
    held: LoadedConfiguration,
    request: ChangeRequest,
) -> ConfigurationDocument:
    mutated = request.mutation(held.document())
    document = parse_document(mutated.model_dump(mode='json'))
    if len({key.sha256 for key in document.keys}) < len(document.keys):
        raise DocumentError(('keys: two have the same secret',))
    return document


def _find_oversized(
    texts_by_name: Mapping[str, str], limit: int
) -> Iterable[str]:
    for name, text in texts_by_name.items():
        size = len(text.encode())
        if size > limit:
            yield f'{name}: {size} bytes, more than {limit}'


def _is_unchanged(
    held: LoadedConfiguration, texts_by_name: Mapping[str, str]
) -> bool:
    return texts_by_name == {
        name: segment.text for name, segment in held.segments_by_name.items()
    }
