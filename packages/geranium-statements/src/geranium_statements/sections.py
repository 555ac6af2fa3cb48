"""Creates, changes and removes entries of a configuration document."""

import dataclasses
import types
from collections.abc import Iterator, Mapping
from typing import Any

import pydantic
from geranium_model import (
    ConfigurationDocument,
    DocumentError,
    NameTakenError,
    UnknownNameError,
    format_validation_errors,
)

from .exceptions import NameInUseError


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A field of the document that contains a list of named entries.

    Args:
        field: The name of the field.
        kind: The kind of the entries, as used in messages.
        key: The field of an entry that contains its name.
    """

    field: str
    kind: str
    key: str = 'name'

    def entries(self, document: ConfigurationDocument) -> tuple[Any, ...]:
        """Return the document's entries."""
        entries: tuple[Any, ...] = getattr(document, self.field)
        return entries

    def find(self, document: ConfigurationDocument, name: str) -> Any:
        """Return the entry with this name.

        Raises:
            UnknownNameError: If it does not exist.
        """
        for entry in self.entries(document):
            if getattr(entry, self.key) == name:
                return entry
        raise UnknownNameError(self.kind, name)

    def names(self, document: ConfigurationDocument) -> frozenset[str]:
        """Return the names of all entries."""
        return frozenset(
            getattr(entry, self.key) for entry in self.entries(document)
        )

    def create(
        self,
        document: ConfigurationDocument,
        fields: Mapping[str, Any],
    ) -> ConfigurationDocument:
        """Return the document with an entry added.

        Raises:
            NameTakenError: If an entry with this name exists.
            DocumentError: If a field is malformed.
        """
        if fields[self.key] in self.names(document):
            raise NameTakenError(self.kind, fields[self.key])
        return self.put(document, fields)

    def change(
        self,
        document: ConfigurationDocument,
        fields: Mapping[str, Any],
    ) -> ConfigurationDocument:
        """Return the document with these fields of an entry changed.

        Raises:
            UnknownNameError: If no entry has this name.
            DocumentError: If a field is malformed.
        """
        current = self.find(document, fields[self.key])
        return self.put(document, {**current.model_dump(), **fields})

    def put(
        self,
        document: ConfigurationDocument,
        fields: Mapping[str, Any],
    ) -> ConfigurationDocument:
        """Return the document with an entry created or replaced.

        Raises:
            DocumentError: If a field is malformed.
        """
        entry = validated_entry(self.field, fields)
        name = getattr(entry, self.key)
        entries = self.entries(document)
        if name not in self.names(document):
            return replace_field(document, self.field, (*entries, entry))
        replaced = tuple(
            entry if getattr(current, self.key) == name else current
            for current in entries
        )
        return replace_field(document, self.field, replaced)

    def remove(
        self,
        document: ConfigurationDocument,
        name: str,
    ) -> ConfigurationDocument:
        """Return the document without an entry.

        Raises:
            UnknownNameError: If no entry has this name.
            NameInUseError: If other entries refer to it.
        """
        removed = self.find(document, name)
        users = tuple(_referrers(document, self.kind, name))
        if users:
            raise NameInUseError(self.kind, name, users)
        rest = tuple(
            entry for entry in self.entries(document) if entry is not removed
        )
        return replace_field(document, self.field, rest)


ZONES = Section('zones', 'zone')
SERVICES = Section('services', 'service')
TARGETS = Section('targets', 'target')
TEAMS = Section('teams', 'team')
KEYS = Section('keys', 'key', key='key_id')
ROUTES = Section('routes', 'route')

_REFERRERS_BY_KIND: Mapping[str, tuple[Section, ...]] = types.MappingProxyType(
    {
        'team': (KEYS, ROUTES),
        'service': (TARGETS, ROUTES),
        'zone': (TARGETS,),
    },
)


def replace_field(
    document: ConfigurationDocument,
    field: str,
    entries: tuple[Any, ...],
) -> ConfigurationDocument:
    """Return the document with one of its fields replaced."""
    return document.model_copy(update={field: entries})


def validated_entry(field: str, fields: Mapping[str, Any]) -> Any:
    """Return a validated entry for this field of the document.

    Raises:
        DocumentError: If the entry is malformed.
    """
    try:
        document = ConfigurationDocument.model_validate({field: [fields]})
    except pydantic.ValidationError as error:
        errors = format_validation_errors(error)
        raise DocumentError(
            tuple(line.removeprefix(f'{field}[0].') for line in errors),
        ) from None
    return getattr(document, field)[0]


def _referrers(
    document: ConfigurationDocument,
    kind: str,
    name: str,
) -> Iterator[str]:
    """Yield the kind and name of the entries that refer to this one."""
    for section in _REFERRERS_BY_KIND.get(kind, ()):
        for entry in section.entries(document):
            if _refers_to(entry, kind, name):
                yield f'{section.kind} {getattr(entry, section.key)}'
    for contract in document.contracts:
        if _refers_to(contract, kind, name):
            yield f'contract {contract.service} {contract.zone}'
    if kind == 'zone' and name in document.cordoned_zones:
        yield 'its cordon'


def _refers_to(entry: Any, kind: str, name: str) -> bool:
    if kind == 'team' and name in getattr(entry, 'teams', ()):
        return True
    return getattr(entry, kind, None) == name
