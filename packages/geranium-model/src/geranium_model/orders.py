"""Orders that change what an engine does or how many targets there are."""

import dataclasses
from typing import TypeAlias

from .targets import Purchase, Role


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Change an engine's role, which takes it out for seconds."""

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
    """Take no new work and finish what runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Take new work again after a drain."""


EngineCommand: TypeAlias = SetRole | LoadModel | LoadAdapter | Drain | Resume


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """Ask the platform for ``count`` targets of a service in a zone."""

    service: str
    zone: str
    purchase: Purchase
    count: int
