"""A version of the configuration in memory, and deltas between versions."""

import dataclasses
import zlib
from collections.abc import Iterable, Mapping
from typing import TypeAlias, TypeVar

import pydantic
from geranium_model import (
    Configuration,
    ConfigurationDocument,
    build_configuration,
)

from .configuration_exceptions import (
    CorruptConfigurationError,
    StaleDeltaError,
)
from .manifests import ChangeRecord, Manifest, SegmentEntry
from .segments import BASE_SEGMENT, Segment, join_document, make_segment

_SegmentsByName: TypeAlias = Mapping[str, Segment]
_Item = TypeVar('_Item')


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Difference between two versions, sent to a peer.

    Args:
        base_version: The version that the delta applies to.
        version: The resulting version.
        entries: The manifest entries that differ.
        segments: The segments of these entries.
        changes: The known changes made in between.
    """

    base_version: int
    version: int
    entries: Mapping[str, SegmentEntry]
    segments: tuple[Segment, ...]
    changes: tuple[ChangeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedConfiguration:
    """A manifest with all its segments and the resulting configuration."""

    manifest: Manifest = dataclasses.field(default_factory=Manifest)
    segments_by_name: _SegmentsByName = dataclasses.field(default_factory=dict)
    configuration: Configuration = dataclasses.field(
        default_factory=Configuration,
    )

    @property
    def version(self) -> int:
        """The version, which each accepted change increments."""
        return self.manifest.version

    @property
    def digests_by_name(self) -> dict[str, str]:
        """The digest of each segment."""
        return {
            name: segment.digest
            for name, segment in self.segments_by_name.items()
        }

    def document(self) -> ConfigurationDocument:
        """Parse the segments and return the document; it is not cached."""
        return join_document(
            segment.text for segment in self.segments_by_name.values()
        )

    def missing_from(self, manifest: Manifest) -> dict[str, str]:
        """Return the digests, by name, of a manifest's segments not held here."""
        held = self.digests_by_name
        return {
            name: entry.digest
            for name, entry in manifest.segments.items()
            if held.get(name) != entry.digest
        }

    def advance(
        self,
        manifest: Manifest,
        fetched: Iterable[Segment],
    ) -> 'LoadedConfiguration':
        """Return the manifest's version, reusing unchanged segments.

        Raises:
            CorruptConfigurationError: If a segment is missing or malformed.
        """
        fetched_by_name = {segment.name: segment for segment in fetched}
        segments = {
            name: self._find_segment(name, entry, fetched_by_name)
            for name, entry in manifest.segments.items()
        }
        return LoadedConfiguration(
            manifest,
            segments,
            _rebuild(self, segments, manifest.version),
        )

    def delta_since(self, version: int) -> ConfigurationDelta:
        """Return the delta for a peer that holds a lower version."""
        entries = {
            name: entry
            for name, entry in self.manifest.segments.items()
            if entry.version > version
        }
        return ConfigurationDelta(
            version,
            self.version,
            entries,
            tuple(self.segments_by_name[name] for name in entries),
            tuple(
                change
                for change in self.manifest.changes
                if change.version > version
            ),
        )

    def apply_delta(self, delta: ConfigurationDelta) -> 'LoadedConfiguration':
        """Return the delta's version, or this one if it is higher.

        The resulting manifest does not list retired segments. This is safe
        because a change is only planned from a manifest read from the store.

        Raises:
            StaleDeltaError: If the delta applies to a higher version than this.
            CorruptConfigurationError: If a segment does not match its
                digest.
        """
        if delta.base_version > self.version:
            raise StaleDeltaError(f'delta from {delta.base_version}')
        if delta.version <= self.version:
            return self
        verified = [
            make_segment(segment.name, segment.text, segment.origin)
            for segment in delta.segments
        ]
        manifest = Manifest(
            delta.version,
            {**self.manifest.segments, **delta.entries},
            delta.changes,
        )
        return self.advance(manifest, verified)

    def _find_segment(
        self,
        name: str,
        entry: SegmentEntry,
        fetched_by_name: _SegmentsByName,
    ) -> Segment:
        for source in (self.segments_by_name, fetched_by_name):
            segment = source.get(name)
            if segment is not None and segment.digest == entry.digest:
                return segment
        raise CorruptConfigurationError(f'no segment {name} {entry.digest}')


_DELTA_ADAPTER = pydantic.TypeAdapter(ConfigurationDelta)


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Return the delta as compressed JSON."""
    return zlib.compress(_DELTA_ADAPTER.dump_json(delta))


def decode_delta(encoded: bytes) -> ConfigurationDelta:
    """Return the delta that a peer sent.

    Raises:
        CorruptConfigurationError: If it is malformed.
    """
    try:
        return _DELTA_ADAPTER.validate_json(zlib.decompress(encoded))
    except (zlib.error, pydantic.ValidationError) as error:
        raise CorruptConfigurationError(f'delta: {error}') from error


def _rebuild(
    known: LoadedConfiguration,
    segments: _SegmentsByName,
    version: int,
) -> Configuration:
    """Build the configuration from a known one and the changed segments."""
    targets = dict(known.configuration.targets_by_name)
    teams = dict(known.configuration.teams_by_name)
    keys = dict(known.configuration.keys_by_sha256)
    for part in _build_parts(_differing(known.segments_by_name, segments)):
        _remove_all(targets, part.targets_by_name)
        _remove_all(teams, part.teams_by_name)
        _remove_all(keys, part.keys_by_sha256)
    base = known.configuration
    for part in _build_parts(_differing(segments, known.segments_by_name)):
        targets.update(part.targets_by_name)
        teams.update(part.teams_by_name)
        keys.update(part.keys_by_sha256)
    base_segment = segments.get(BASE_SEGMENT)
    if base_segment is not None:
        base = build_configuration(base_segment.document())
    return dataclasses.replace(
        base,
        version=version,
        targets_by_name=targets,
        teams_by_name=teams,
        keys_by_sha256=keys,
    )


def _differing(
    segments: _SegmentsByName,
    others: _SegmentsByName,
) -> list[Segment]:
    return [
        segment
        for name, segment in segments.items()
        if others.get(name) != segment
    ]


def _build_parts(segments: Iterable[Segment]) -> Iterable[Configuration]:
    for segment in segments:
        if segment.name != BASE_SEGMENT:
            yield build_configuration(segment.document())


def _remove_all(items: dict[str, _Item], names: Iterable[str]) -> None:
    for name in names:
        items.pop(name, None)
