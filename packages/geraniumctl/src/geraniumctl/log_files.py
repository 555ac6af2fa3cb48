"""Finds what hosts logged of one request, in files of their output."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, TextIO

FIRST_FIELDS = ('timestamp', 'host', 'event')
_ID_FIELDS = ('request', 'request_id')


def find_request(
    identity: str,
    files: Iterable[TextIO],
) -> list[dict[str, Any]]:
    """Return the records of a request from all files, the oldest first.

    Lines that are no records are left out: a file may hold the output of
    other programs, or text before each record.
    """
    found = [
        record
        for lines in files
        for record in read_records(lines)
        if any(record.get(name) == identity for name in _ID_FIELDS)
    ]
    return sorted(found, key=_timestamp)


def describe_record(record: dict[str, Any]) -> str:
    """Return a record as one line: when, where, what, then its inputs."""
    leading = [str(record.get(name, '-')) for name in FIRST_FIELDS]
    inputs = [
        f'{name}={json.dumps(reading)}'
        for name, reading in record.items()
        if name not in FIRST_FIELDS and name not in _ID_FIELDS
    ]
    return ' '.join(leading + inputs)


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Give the records of a file, without lines that are none."""
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
