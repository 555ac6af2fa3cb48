"""Orders that change what an engine does or how many targets there are."""

import dataclasses
from typing import TypeAlias

from .targets import Purchase, Role


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Change an engine's role, which stops the engine for seconds."""

    role: Role


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a version of a model from the weight store."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load a version of an adapter from the weight store."""

    adapter: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Accept no new requests and finish the running ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Accept new requests again after a drain."""


EngineCommand: TypeAlias = SetRole | LoadModel | LoadAdapter | Drain | Resume


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """Order ``count`` targets of a service in a zone from the platform."""

    service: str
    zone: str
    purchase: Purchase
    count: int
