"""Validation models of the platform's lists of hosts and targets."""

import dataclasses

import pydantic
from geranium_model import Host, HostKind, HostState, Purchase, TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A row of the platform's list of targets, which may be out of date."""

    name: str
    service: str
    zone: str
    address: str
    purchase: Purchase
    state: TargetState


class _HostRow(pydantic.BaseModel):
    host: str
    zone: str
    kind: HostKind
    state: HostState


class _HostList(pydantic.BaseModel):
    hosts: tuple[_HostRow, ...]


class _TargetRow(pydantic.BaseModel):
    target: str
    service: str
    zone: str
    address: str
    purchase: Purchase = Purchase.RESERVED
    state: TargetState


class _TargetList(pydantic.BaseModel):
    targets: tuple[_TargetRow, ...]


def parse_hosts(text: bytes) -> tuple[Host, ...]:
    """Parse a host list."""
    listing = _HostList.model_validate_json(text)
    return tuple(
        Host(row.host, row.zone, row.kind, row.state) for row in listing.hosts
    )


def parse_targets(text: bytes) -> tuple[ListedTarget, ...]:
    """Parse a target list."""
    listing = _TargetList.model_validate_json(text)
    return tuple(
        ListedTarget(
            name=row.target,
            service=row.service,
            zone=row.zone,
            address=row.address,
            purchase=row.purchase,
            state=row.state,
        )
        for row in listing.targets
    )
