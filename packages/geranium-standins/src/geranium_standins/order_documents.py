"""Request models of engine orders."""

from typing import Annotated, Literal, TypeAlias

import pydantic
from geranium_model import (
    Drain,
    EngineCommand,
    LoadAdapter,
    LoadModel,
    Resume,
    Role,
    SetRole,
)


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class SetRoleDocument(_Strict):
    """An order to change the role."""

    kind: Literal['set-role']
    role: Role

    def build(self) -> EngineCommand:
        """Return the command."""
        return SetRole(self.role)


class LoadModelDocument(_Strict):
    """An order to load a model."""

    kind: Literal['load-model']
    model: str
    version: str

    def build(self) -> EngineCommand:
        """Return the command."""
        return LoadModel(self.model, self.version)


class LoadAdapterDocument(_Strict):
    """An order to load an adapter."""

    kind: Literal['load-adapter']
    adapter: str
    version: str

    def build(self) -> EngineCommand:
        """Return the command."""
        return LoadAdapter(self.adapter, self.version)


class DrainDocument(_Strict):
    """An order to stop accepting new work."""

    kind: Literal['drain']

    def build(self) -> EngineCommand:
        """Return the command."""
        return Drain()


class ResumeDocument(_Strict):
    """An order to accept work again."""

    kind: Literal['resume']

    def build(self) -> EngineCommand:
        """Return the command."""
        return Resume()


CommandDocument: TypeAlias = Annotated[
    SetRoleDocument
    | LoadModelDocument
    | LoadAdapterDocument
    | DrainDocument
    | ResumeDocument,
    pydantic.Field(discriminator='kind'),
]


class EngineOrderDocument(_Strict):
    """An order with its id and fencing epoch."""

    order_id: str
    epoch: int
    order: CommandDocument
