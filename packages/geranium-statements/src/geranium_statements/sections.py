"""Edits the named entries of a configuration document."""

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
    validation_complaints,
)

from .exceptions import NameInUseError


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A field of the document that lists entries by name.

    Args:
        field: The field's name.
        kind: What operators call an entry.
        key: The entries' field that names them.
    """

    field: str
    kind: str
    key: str = 'name'

    def entries(self, document: ConfigurationDocument) -> tuple[Any, ...]:
        """Return the document's entries."""
        entries: tuple[Any, ...] = getattr(document, self.field)
        return entries

    def find(self, document: ConfigurationDocument, name: str) -> Any:
        """Return the entry of this name.

        Raises:
            UnknownNameError: If there is none.
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
        """Return the document with one entry more.

        Raises:
            NameTakenError: If its name is taken.
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
            UnknownNameError: If there is no entry of this name.
            DocumentError: If a field is malformed.
        """
        present = self.find(document, fields[self.key])
        return self.put(document, {**present.model_dump(), **fields})

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
            entry if getattr(present, self.key) == name else present
            for present in entries
        )
        return replace_field(document, self.field, replaced)

    def remove(
        self,
        document: ConfigurationDocument,
        name: str,
    ) -> ConfigurationDocument:
        """Return the document without an entry.

        Raises:
            UnknownNameError: If there is none of this name.
            NameInUseError: If other entries name it.
        """
        removed = self.find(document, name)
        users = tuple(_users(document, self.kind, name))
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
    """Return an entry for this field of the document.

    Raises:
        DocumentError: If the entry is malformed.
    """
    try:
        document = ConfigurationDocument.model_validate({field: [fields]})
    except pydantic.ValidationError as error:
        complaints = validation_complaints(error)
        raise DocumentError(
            tuple(line.removeprefix(f'{field}[0].') for line in complaints),
        ) from None
    return getattr(document, field)[0]


def _users(
    document: ConfigurationDocument,
    kind: str,
    name: str,
) -> Iterator[str]:
    """Yield the entries that name this one, as operators call them."""
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
