"""Validation models of the platform's lists of hosts and targets."""

import contextlib
import dataclasses
from collections.abc import Callable
from typing import Annotated, TypeAlias, TypeVar

import pydantic
from geranium_coordination import UnavailableError
from geranium_model import Host, HostKind, HostState, Purchase, TargetState
from geranium_model.documents import Address
from geranium_relay.json_bodies import decode_body

_MAX_PORT = 65535
_MAX_LENGTH = 256  # of a text, many of which fit a message to peers


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A row of the platform's list of targets, which may be out of date."""

    name: str
    service: str
    zone: str
    address: str
    purchase: Purchase
    state: TargetState


def _ignore(_count: int) -> None:
    """Ignore how many rows were left out."""


def _check_text(text: str) -> str:
    if len(text) > _MAX_LENGTH or not text.isprintable():
        raise ValueError('too long or not printable')
    return text


def _check_port(address: str) -> str:
    if not 0 < int(address.rpartition(':')[-1]) <= _MAX_PORT:
        raise ValueError('the port is out of range')
    return address


_Text: TypeAlias = Annotated[str, pydantic.AfterValidator(_check_text)]
_RowT = TypeVar('_RowT', bound=pydantic.BaseModel)


class _HostRow(pydantic.BaseModel):
    host: _Text
    zone: _Text
    kind: HostKind
    state: HostState


class _HostList(pydantic.BaseModel):
    hosts: tuple[_HostRow, ...]


class _TargetRow(pydantic.BaseModel):
    target: _Text
    service: _Text
    zone: _Text
    address: Annotated[
        Address,
        pydantic.AfterValidator(_check_text),
        pydantic.AfterValidator(_check_port),
    ]
    purchase: Purchase = Purchase.RESERVED
    state: TargetState


class _TargetList(pydantic.BaseModel):
    targets: tuple[_TargetRow, ...]


def parse_hosts(
    text: bytes, on_left_out: Callable[[int], None] = _ignore
) -> tuple[Host, ...]:
    """Parse a host list.

    Args:
        text: The list.
        on_left_out: Called with the number of malformed rows.

    Raises:
        UnavailableError: If it is no list.
    """
    try:
        rows = _HostList.model_validate_json(text).hosts
    except pydantic.ValidationError:
        rows = _valid_rows(text, 'hosts', _HostRow, on_left_out)
    else:
        on_left_out(0)
    return tuple(map(_decode_host, rows))


def parse_targets(
    text: bytes, on_left_out: Callable[[int], None] = _ignore
) -> tuple[ListedTarget, ...]:
    """Parse a target list.

    Args:
        text: The list.
        on_left_out: Called with the number of malformed rows.

    Raises:
        UnavailableError: If it is no list.
    """
    try:
        rows = _TargetList.model_validate_json(text).targets
    except pydantic.ValidationError:
        rows = _valid_rows(text, 'targets', _TargetRow, on_left_out)
    else:
        on_left_out(0)
    return tuple(
        ListedTarget(
            name=row.target,
            service=row.service,
            zone=row.zone,
            address=row.address,
            purchase=row.purchase,
            state=row.state,
        )
        for row in rows
    )


def _decode_host(row: _HostRow) -> Host:
    return Host(row.host, row.zone, row.kind, row.state)


def _valid_rows(
    text: bytes,
    field: str,
    model: type[_RowT],
    on_left_out: Callable[[int], None],
) -> tuple[_RowT, ...]:
    """Return the rows of a list that are valid one by one."""
    try:
        body = decode_body(text)
    except ValueError as error:
        raise UnavailableError(f'malformed list of {field}') from error
    listed = body.get(field) if isinstance(body, dict) else None
    if not isinstance(listed, list):
        raise UnavailableError(f'malformed list of {field}')
    rows = []
    for row in listed:
        with contextlib.suppress(pydantic.ValidationError):
            rows.append(model.model_validate(row))
    on_left_out(len(listed) - len(rows))
    return tuple(rows)
