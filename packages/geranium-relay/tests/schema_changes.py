"""Finds changes of a schema after which builds misread each other."""

from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias

# The features of each field or value by struct or enum and by name.
Description: TypeAlias = dict[str, dict[str, object]]


def describe(schema: Any) -> Description:
    """Return what the encoding of a schema's messages depends on."""
    return {
        nested.name: dict(_describe_members(getattr(schema, nested.name)))
        for nested in schema.schema.node.nestedNodes
    }


def harmful_changes(older: Any, newer: Any) -> list[str]:
    """Return the changes other than additions, in words."""
    return list(_find_changes(describe(older), describe(newer)))


def _find_changes(older: Description, newer: Description) -> Iterator[str]:
    for name, members in older.items():
        present: Mapping[str, object] = newer.get(name, {})
        for member, features in members.items():
            if present.get(member) != features:
                yield f'{name}.{member}: {features} is {present.get(member)}'


def _describe_members(described: Any) -> Iterator[tuple[str, object]]:
    node = described.schema.node
    if node.which() == 'enum':
        yield from described.schema.enumerants.items()
        return
    for field in node.struct.fields:
        features = field.to_dict()
        slot = features['slot']
        yield (
            field.name,
            (
                features['ordinal'],
                slot['offset'],
                slot['type'],
                slot['hadExplicitDefault'],
                features['discriminantValue'],
            ),
        )
