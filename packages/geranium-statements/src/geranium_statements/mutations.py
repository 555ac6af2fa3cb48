"""Applies commands to the configuration document."""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any, TypeAlias

from geranium_model import (
    ConfigurationDocument,
    NameTakenError,
    UnknownNameError,
    generate_secret,
    key_digest,
    parse_document,
)

from . import commands, sections

_Creation: TypeAlias = tuple[sections.Section, dict[str, str]]
_SECTIONS_BY_CREATION: Mapping[type, _Creation] = types.MappingProxyType(
    {
        commands.CreateZone: (sections.ZONES, {}),
        commands.CreateTeam: (sections.TEAMS, {}),
        commands.CreateModelService: (sections.SERVICES, {'kind': 'model'}),
        commands.CreateApplicationService: (
            sections.SERVICES,
            {'kind': 'application'},
        ),
        commands.AddEngine: (sections.TARGETS, {'kind': 'engine'}),
        commands.AddTarget: (sections.TARGETS, {'kind': 'target'}),
    }
)
_SECTIONS_BY_REMOVAL: Mapping[type, sections.Section] = types.MappingProxyType(
    {
        commands.DeleteZone: sections.ZONES,
        commands.DeleteTeam: sections.TEAMS,
        commands.WithdrawKey: sections.KEYS,
        commands.DeleteService: sections.SERVICES,
        commands.RemoveTarget: sections.TARGETS,
        commands.DeleteRoute: sections.ROUTES,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class MutationResult:
    """The changed document.

    ``secret`` is the secret of a key that was created without a digest. It is
    not stored, so the operator sees it only once.
    """

    document: ConfigurationDocument
    secret: str | None = None


def apply_command(
    command: commands.Command,
    document: ConfigurationDocument,
    secret: str | None = None,
) -> MutationResult:
    """Return the document with the command applied.

    A command whose effect is already present leaves the document unchanged:
    cordoning a cordoned zone, or creating a key with the same id, team and
    digest. A caller that retries ``create key``, after a lost response or a
    conflicting write, passes the same secret to avoid a second key.

    Args:
        command: The command.
        document: The current document.
        secret: The secret of a key to create; generated if absent.

    Raises:
        NameTakenError: If it creates an object that exists.
        UnknownNameError: If it names an object that does not exist.
        NameInUseError: If it deletes an object that others refer to.
        DocumentError: If a value is malformed or inconsistent.
    """
    new_secret = None
    if isinstance(command, commands.CreateKey) and command.sha256 is None:
        new_secret = secret or generate_secret()
        command = dataclasses.replace(command, sha256=key_digest(new_secret))
    changed = parse_document(_apply(command, document))
    return MutationResult(changed, new_secret)


def _apply(
    command: commands.Command,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    match command:
        case commands.CreateKey():
            return _create_key(command, document)
        case commands.SetTeam() | commands.SetService() | commands.SetRoute():
            return _set_entry(command, document)
        case commands.SetContract() | commands.DeleteContract():
            return _set_contract(command, document)
        case commands.Cordon() | commands.Uncordon():
            return _set_cordon(command, document)
        case _:
            return _create_or_remove(command, document)


def _create_or_remove(
    command: commands.Command,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    created = _SECTIONS_BY_CREATION.get(type(command))
    if created is not None:
        section, kind = created
        return section.create(document, {**kind, **_fields(command)})
    section = _SECTIONS_BY_REMOVAL[type(command)]
    return section.remove(document, getattr(command, section.key))


def _fields(command: commands.Command) -> dict[str, Any]:
    """Return the fields of the command that are set."""
    return {
        name: setting
        for name, setting in dataclasses.asdict(command).items()
        if setting is not None
    }


def _create_key(
    command: commands.CreateKey,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    sections.TEAMS.find(document, command.team)
    fields = _fields(command)
    for key in document.keys:
        if key.model_dump() == fields:
            return document
        if key.sha256 == command.sha256:
            raise NameTakenError('key with the digest', key.sha256)
    return sections.KEYS.create(document, fields)


def _set_entry(
    command: commands.SetTeam | commands.SetService | commands.SetRoute,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    match command:
        case commands.SetRoute():
            return sections.ROUTES.put(document, _fields(command))
        case commands.SetTeam():
            return sections.TEAMS.change(document, _fields(command))
        case commands.SetService(name):
            if sections.SERVICES.find(document, name).kind != 'model':
                raise UnknownNameError('model service', name)
            return sections.SERVICES.change(document, _fields(command))


def _set_contract(
    command: commands.SetContract | commands.DeleteContract,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    contracts = _other_contracts(command, document)
    if isinstance(command, commands.SetContract):
        entry = sections.validated_entry('contracts', _fields(command))
        contracts = (*contracts, entry)
    elif len(contracts) == len(document.contracts):
        raise UnknownNameError('contract', _contract_key(command))
    return sections.replace_field(document, 'contracts', contracts)


def _contract_key(command: commands.DeleteContract) -> str:
    return ' '.join((command.service, command.zone, command.purchase.value))


def _other_contracts(
    command: commands.SetContract | commands.DeleteContract,
    document: ConfigurationDocument,
) -> tuple[Any, ...]:
    key = (command.service, command.zone, command.purchase)
    return tuple(
        contract
        for contract in document.contracts
        if (contract.service, contract.zone, contract.purchase) != key
    )


def _set_cordon(
    command: commands.Cordon | commands.Uncordon,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    sections.ZONES.find(document, command.zone)
    zones = tuple(
        zone for zone in document.cordoned_zones if zone != command.zone
    )
    if isinstance(command, commands.Cordon):
        zones = (*zones, command.zone)
    return sections.replace_field(
        document, 'cordoned_zones', tuple(sorted(zones))
    )
