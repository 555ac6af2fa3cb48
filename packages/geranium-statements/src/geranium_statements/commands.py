"""Statements that change the configuration document.

Fields have the names of the document's fields. ``None`` in a ``Set...``
command keeps the current value; in other commands it selects the default of
the document.
"""

import dataclasses
from typing import TypeAlias

from geranium_model import Purchase, Role


@dataclasses.dataclass(frozen=True, slots=True)
class CreateZone:
    """``create zone Z in region R``."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteZone:
    """``delete zone Z``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreateTeam:
    """``create team T [weight W]``."""

    name: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class SetTeam:
    """``set team T weight W``."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteTeam:
    """``delete team T``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreateKey:
    """``create key K for team T [sha256 HEX]``.

    Without a digest, the process that applies the command generates a
    secret.
    """

    key_id: str
    team: str
    sha256: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """``withdraw key K``."""

    key_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreateModelService:
    """``create service S model M [version V] [first-token D] ...``."""

    name: str
    model: str
    version: str | None = None
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CreateApplicationService:
    """``create service S application``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetService:
    """``set service S [model M] [version V] [first-token D] ...``."""

    name: str
    model: str | None = None
    version: str | None = None
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteService:
    """``delete service S``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddEngine:
    """``add engine E for service S in zone Z at ADDRESS [role R] ...``."""

    name: str
    service: str
    zone: str
    address: str
    role: Role | None = None
    purchase: Purchase | None = None
    honours_fencing: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AddTarget:
    """``add target T for service S in zone Z at ADDRESS [purchase P]``."""

    name: str
    service: str
    zone: str
    address: str
    purchase: Purchase | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveTarget:
    """``remove target T`` or ``remove engine E``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRoute:
    """``set route R for service S [path P] ...``: creates or replaces R."""

    name: str
    service: str
    path: str = '/'
    methods: tuple[str, ...] = ()
    repeatable: bool | None = None
    open_to_all: bool = False
    teams: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRoute:
    """``delete route R``."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetContract:
    """``set contract for service S in zone Z purchase P committed N ...``.

    Creates or replaces the contract for this service, zone and purchase.
    """

    service: str
    zone: str
    purchase: Purchase
    committed: int
    maximum: int
    hourly_price: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteContract:
    """``delete contract for service S in zone Z purchase P``."""

    service: str
    zone: str
    purchase: Purchase


@dataclasses.dataclass(frozen=True, slots=True)
class Cordon:
    """``cordon zone Z``: send no new requests to its targets."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncordon:
    """``uncordon zone Z``."""

    zone: str


TeamCommand: TypeAlias = (
    CreateTeam | SetTeam | DeleteTeam | CreateKey | WithdrawKey
)
ServiceCommand: TypeAlias = (
    CreateModelService
    | CreateApplicationService
    | SetService
    | DeleteService
    | SetRoute
    | DeleteRoute
)
TargetCommand: TypeAlias = (
    AddEngine | AddTarget | RemoveTarget | SetContract | DeleteContract
)
ZoneCommand: TypeAlias = CreateZone | DeleteZone | Cordon | Uncordon
Command: TypeAlias = TeamCommand | ServiceCommand | TargetCommand | ZoneCommand
