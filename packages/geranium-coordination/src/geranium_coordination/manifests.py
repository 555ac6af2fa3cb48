"""The manifest, the only mutable object of the configuration."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import pydantic

from .configuration_exceptions import CorruptConfigurationError

MANIFEST_KEY = 'config/manifest'
SEGMENT_PREFIX = 'config/segments/'


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment's digest and the version in which it last changed."""

    digest: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredSegment:
    """A segment that is unreferenced from ``version`` on."""

    digest: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Author and operation of the change that created a version."""

    version: int
    operation_id: str
    author: str
    description: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the configuration as a list of segments.

    ``changes`` holds the latest changes, newest last. ``retired`` lists
    segments that holders of a recent manifest may still read.
    """

    version: int = 0
    segments: Mapping[str, SegmentEntry] = dataclasses.field(
        default_factory=dict,
    )
    changes: tuple[ChangeRecord, ...] = ()
    retired: tuple[RetiredSegment, ...] = ()

    def change_by(self, operation_id: str) -> ChangeRecord | None:
        """Return the recent change made by this operation, if any."""
        for change in reversed(self.changes):
            if change.operation_id == operation_id:
                return change
        return None

    def readable_digests(self) -> frozenset[str]:
        """Return the digests of all segments that may still be read."""
        current = (entry.digest for entry in self.segments.values())
        return frozenset(current).union(
            segment.digest for segment in self.retired
        )

    def change_after(self, version: int) -> ChangeRecord | None:
        """Return the oldest known change that is newer than a version."""
        for change in self.changes:
            if change.version > version:
                return change
        return None


_ADAPTER = pydantic.TypeAdapter(Manifest)


def decode_manifest(body: Any) -> Manifest:
    """Return the manifest that a stored body describes.

    Raises:
        CorruptConfigurationError: If the body is malformed.
    """
    try:
        return _ADAPTER.validate_python(body)
    except pydantic.ValidationError as error:
        raise CorruptConfigurationError(f'manifest: {error}') from error


def encode_manifest(manifest: Manifest) -> Any:
    """Return the manifest as a JSON value."""
    return _ADAPTER.dump_python(manifest, mode='json')


def segment_key(digest: str) -> str:
    """Return the object key under which a segment is stored."""
    return f'{SEGMENT_PREFIX}{digest}'
