"""Schemas of a build that adds members to unions and values to enums."""

import functools
import pathlib
import tempfile
from typing import Any

import capnp
import geranium_relay as relay

PACKAGE = pathlib.Path(relay.__file__).parent
FORWARDING = PACKAGE / 'peer_forwarding' / 'forwarding.capnp'
ADDED = (
    ('question @1 :Text;', '    laterCall @2 :Text;'),
    ('reach @4 :Reach;', '    laterFrame @5 :Text;'),
    ('unreached @2;', '  laterReach @3;'),
    ('cutOff @4;', '  laterOutcome @5;'),
)


def load_schema(path: pathlib.Path) -> Any:
    """Load a schema beside others with the same ids."""
    return capnp.SchemaParser().load(str(path))


def insert_lines(text: str, lines: tuple[tuple[str, str], ...]) -> str:
    """Return a schema with a line after each of some others."""
    for after, line in lines:
        assert text.count(after) == 1, after
        text = text.replace(after, f'{after}\n{line}')
    return text


@functools.cache
def later_forwarding() -> Any:
    """Return a later schema of calls and frames."""
    text = insert_lines(FORWARDING.read_text(), ADDED)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / FORWARDING.name
        path.write_text(text)
        return load_schema(path)
