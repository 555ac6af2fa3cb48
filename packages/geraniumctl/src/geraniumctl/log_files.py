"""Reads log records from files of hosts' output."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

FIRST_FIELDS = ('timestamp', 'host', 'event')
_ID_FIELDS = ('request', 'request_id')


def find_request(
    identity: str,
    files: Iterable[TextIO],
) -> list[dict[str, Any]]:
    """Return the records of a request from all files, oldest first.

    Files can contain output of other programs, and text before each record;
    lines without a record are skipped.
    """
    found = [
        record
        for lines in files
        for record in read_records(lines)
        if any(record.get(name) == identity for name in _ID_FIELDS)
    ]
    return sorted(found, key=_timestamp)


def describe_record(record: dict[str, Any]) -> str:
    """Return a record as one line: time, host, event, then other fields."""
    leading = [str(record.get(name, '-')) for name in FIRST_FIELDS]
    other_fields = [
        f'{name}={json.dumps(content)}'
        for name, content in record.items()
        if name not in FIRST_FIELDS and name not in _ID_FIELDS
    ]
    return ' '.join(leading + other_fields)


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the records of a file; skip lines without a record."""
    for line in lines:
        start = line.find('{')
        try:
            record = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(record, dict):
            yield record


def _timestamp(record: dict[str, Any]) -> str:
    return str(record.get('timestamp', ''))
