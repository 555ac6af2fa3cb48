"""Pydantic models of the configuration document."""

from typing import Annotated, Literal, TypeAlias

import pydantic

from .targets import Purchase, Role

Name: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
Address: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[\w.\[\]:-]+:\d{1,5}$'),
]
Sha256Hex: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern='^[0-9a-f]{64}$'),
]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ZoneDocument(_Strict):
    """An availability zone of the configuration document."""

    name: Name
    region: Name


class TeamDocument(_Strict):
    """A team of the configuration document."""

    name: Name
    weight: Annotated[float, pydantic.Field(gt=0)] = 1


class KeyDocument(_Strict):
    """A key of the configuration document, with its secret's digest."""

    key_id: Name
    team: Name
    sha256: Sha256Hex


class ModelServiceDocument(_Strict):
    """A model service of the configuration document."""

    kind: Literal['model'] = 'model'
    name: Name
    model: Name
    version: str = '1'
    first_token_ms: pydantic.PositiveInt = 560
    between_tokens_ms: pydantic.PositiveInt = 43


class ApplicationServiceDocument(_Strict):
    """An application service of the configuration document."""

    kind: Literal['application'] = 'application'
    name: Name


class EngineDocument(_Strict):
    """An engine of the configuration document."""

    kind: Literal['engine'] = 'engine'
    name: Name
    service: Name
    zone: Name
    address: Address
    role: Role = Role.MIXED
    honours_fencing: bool = True
    purchase: Purchase = Purchase.RESERVED


class TargetDocument(_Strict):
    """An application target of the configuration document."""

    kind: Literal['target'] = 'target'
    name: Name
    service: Name
    zone: Name
    address: Address
    purchase: Purchase = Purchase.RESERVED


class RouteDocument(_Strict):
    """A route of the configuration document."""

    name: Name
    service: Name
    path: Annotated[str, pydantic.StringConstraints(pattern='^/')] = '/'
    methods: tuple[str, ...] = ()
    repeatable: bool | None = None
    open_to_all: bool = False
    teams: tuple[Name, ...] = ()


class ContractDocument(_Strict):
    """A contract of the configuration document."""

    service: Name
    zone: Name
    purchase: Purchase = Purchase.RESERVED
    committed: pydantic.NonNegativeInt
    maximum: pydantic.NonNegativeInt
    hourly_price: pydantic.NonNegativeFloat


ServiceDocument: TypeAlias = Annotated[
    ModelServiceDocument | ApplicationServiceDocument,
    pydantic.Field(discriminator='kind'),
]
BackendDocument: TypeAlias = Annotated[
    EngineDocument | TargetDocument,
    pydantic.Field(discriminator='kind'),
]


class ConfigurationDocument(_Strict):
    """The whole configuration document."""

    zones: tuple[ZoneDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    targets: tuple[BackendDocument, ...] = ()
    teams: tuple[TeamDocument, ...] = ()
    keys: tuple[KeyDocument, ...] = ()
    routes: tuple[RouteDocument, ...] = ()
    contracts: tuple[ContractDocument, ...] = ()
    cordoned_zones: tuple[Name, ...] = ()
