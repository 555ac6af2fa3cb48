"""Segments: the parts of a configuration document that are stored separately.

The text of a segment is a configuration document with part of the records,
as canonical JSON. Its body also names the operation that wrote it and the
version that the operation was based on. Therefore a replaced digest never
recurs, which makes it safe to delete replaced segments.
"""

import dataclasses
import hashlib
import json
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, TypeAlias

from geranium_model import ConfigurationDocument

from .configuration_exceptions import CorruptConfigurationError

BASE_SEGMENT = 'base'
BASE_FIELDS = ('zones', 'services', 'routes', 'contracts', 'cordoned_zones')
BUCKETED_FIELDS = ('targets', 'teams', 'keys')
BUCKET_HASH_BYTES = 4
EMPTY_TEXT = '{}'

_Part: TypeAlias = dict[str, list[Any]]
_PartsByName: TypeAlias = dict[str, _Part]


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A named part of the document with its digest.

    ``origin`` identifies the change that wrote it.
    """

    name: str
    text: str
    origin: str
    digest: str

    def body(self) -> Any:
        """Return the stored JSON value."""
        return {'origin': self.origin, 'content': json.loads(self.text)}

    def document(self) -> ConfigurationDocument:
        """Return the part of the document that the segment holds."""
        return ConfigurationDocument.model_validate_json(self.text)


def make_segment(name: str, text: str, origin: str) -> Segment:
    """Return the segment of a text, with its digest."""
    body = f'{{"content":{text},"origin":{json.dumps(origin)}}}'
    return Segment(
        name, text, origin, hashlib.sha256(body.encode()).hexdigest()
    )


def read_segment(name: str, body: Any, digest: str) -> Segment:
    """Return the segment that a stored body holds.

    Raises:
        CorruptConfigurationError: If the body is malformed or does not match
            the digest.
    """
    try:
        text = canonical_json(body['content'])
        segment = make_segment(name, text, body['origin'])
    except (KeyError, TypeError) as error:
        raise CorruptConfigurationError(f'segment {name}') from error
    if segment.digest != digest:
        raise CorruptConfigurationError(f'segment {name}: digest {digest}')
    return segment


def base_version(body: Any) -> int:
    """Return the version that a stored segment's change was based on."""
    return int(body['origin'].partition(':')[0])


def canonical_json(decoded: Any) -> str:
    """Return the canonical JSON text of a value."""
    return json.dumps(decoded, sort_keys=True, separators=(',', ':'))


def split_document(
    document: ConfigurationDocument,
    team_buckets: int,
    target_buckets: int,
) -> dict[str, str]:
    """Return the text of each segment by its name."""
    raw = document.model_dump(mode='json')
    parts: _PartsByName = {
        BASE_SEGMENT: {field: raw[field] for field in BASE_FIELDS},
    }
    for target in _ordered(raw['targets']):
        name = _bucket('targets', target['name'], target_buckets)
        _add_record(parts, name, 'targets', target)
    for team in _ordered(raw['teams']):
        name = _bucket('teams', team['name'], team_buckets)
        _add_record(parts, name, 'teams', team)
    for key in _ordered(raw['keys']):
        name = _bucket('teams', key['team'], team_buckets)
        _add_record(parts, name, 'keys', key)
    return {name: canonical_json(part) for name, part in parts.items()}


def join_document(texts: Iterable[str]) -> ConfigurationDocument:
    """Return the document formed by the texts of all segments.

    Records are ordered by name, so that equal configurations are equal
    documents.
    """
    joined: _Part = defaultdict(list)
    for text in texts:
        for field, records in json.loads(text).items():
            joined[field].extend(records)
    for bucketed in BUCKETED_FIELDS:
        joined[bucketed] = _ordered(joined[bucketed])
    return ConfigurationDocument.model_validate(joined)


def withdrawn_digests(
    before: Iterable[str],
    after: Iterable[str],
) -> Iterator[str]:
    """Yield the digests of keys that a change removes from their team.

    Args:
        before: Texts of the segments that the change replaces.
        after: Texts of the segments that the change writes.
    """
    kept = set(_keys(after))
    for digest, team in _keys(before):
        if (digest, team) not in kept:
            yield digest


def _ordered(records: list[Any]) -> list[Any]:
    return sorted(records, key=_record_name)


def _record_name(record: Mapping[str, Any]) -> str:
    return str(record.get('name') or record['key_id'])


def _add_record(
    parts: _PartsByName, name: str, field: str, record: Any
) -> None:
    parts.setdefault(name, {}).setdefault(field, []).append(record)


def _bucket(prefix: str, name: str, count: int) -> str:
    hashed = hashlib.sha256(name.encode()).digest()[:BUCKET_HASH_BYTES]
    number = int.from_bytes(hashed) % count
    return f'{prefix}/{number}'


def _keys(texts: Iterable[str]) -> Iterator[tuple[str, str]]:
    for text in texts:
        for key in json.loads(text).get('keys', ()):
            yield key['sha256'], key['team']
