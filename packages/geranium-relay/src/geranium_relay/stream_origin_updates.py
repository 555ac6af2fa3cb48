"""Encodes and decodes the origins of streams in peer updates."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Any

MAX_ORIGINS = 512  # keeps a datagram below 64 kB


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software version at which a stream began.

    Args:
        stream: Hash of the id of the attempt that began it.
        version: The version of its target.
    """

    stream: int
    version: str


def encode_origins(origins: Sequence[StreamOrigin]) -> dict[str, list[Any]]:
    """Return origins as the struct of the Cap'n Proto schema."""
    versions = sorted({origin.version for origin in origins})
    place_by_version = {
        version: place for place, version in enumerate(versions)
    }
    return {
        'versions': versions,
        'streams': [origin.stream for origin in origins],
        'places': [place_by_version[origin.version] for origin in origins],
    }


def decode_origins(table: Any) -> Iterator[StreamOrigin]:
    """Decode the origins of a message.

    Raises:
        ValueError: If the lists don't fit together.
    """
    versions = tuple(table.versions)
    for stream, place in zip(
        tuple(table.streams), tuple(table.places), strict=True
    ):
        if place >= len(versions):
            raise ValueError(f'no version {place}')
        yield StreamOrigin(stream, versions[place])
