"""The configuration document: its validated border models."""

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
    """An availability zone as operators write it."""

    name: Name
    region: Name


class TeamDocument(_Strict):
    """A team as operators write it."""

    name: Name
    weight: Annotated[float, pydantic.Field(gt=0)] = 1


class KeyDocument(_Strict):
    """A key as it is stored: the hash of its secret."""

    key_id: Name
    team: Name
    sha256: Sha256Hex


class ModelServiceDocument(_Strict):
    """A model service as operators write it."""

    kind: Literal['model'] = 'model'
    name: Name
    model: Name
    version: str = '1'
    first_token_ms: pydantic.PositiveInt = 560
    between_tokens_ms: pydantic.PositiveInt = 43


class ApplicationServiceDocument(_Strict):
    """An application service as operators write it."""

    kind: Literal['application'] = 'application'
    name: Name


class EngineDocument(_Strict):
    """An engine as operators write it."""

    kind: Literal['engine'] = 'engine'
    name: Name
    service: Name
    zone: Name
    address: Address
    role: Role = Role.MIXED
    honours_fencing: bool = True
    purchase: Purchase = Purchase.RESERVED


class TargetDocument(_Strict):
    """An application target as operators write it."""

    kind: Literal['target'] = 'target'
    name: Name
    service: Name
    zone: Name
    address: Address
    purchase: Purchase = Purchase.RESERVED


class RouteDocument(_Strict):
    """A route as operators write it."""

    name: Name
    service: Name
    path: Annotated[str, pydantic.StringConstraints(pattern='^/')] = '/'
    methods: tuple[str, ...] = ()
    repeatable: bool | None = None
    open_to_all: bool = False
    teams: tuple[Name, ...] = ()


class ContractDocument(_Strict):
    """A contract as operators write it."""

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
    """The whole configuration as operators write it."""

    zones: tuple[ZoneDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    targets: tuple[BackendDocument, ...] = ()
    teams: tuple[TeamDocument, ...] = ()
    keys: tuple[KeyDocument, ...] = ()
    routes: tuple[RouteDocument, ...] = ()
    contracts: tuple[ContractDocument, ...] = ()
    cordoned_zones: tuple[Name, ...] = ()
