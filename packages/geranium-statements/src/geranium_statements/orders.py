"""Statements that give orders to an engine or a host."""

import dataclasses
from typing import TypeAlias

import geranium_model


@dataclasses.dataclass(frozen=True, slots=True)
class DrainEngine:
    """``drain engine E``: accept no new requests, finish the running ones."""

    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeEngine:
    """``resume engine E``: accept new requests again after a drain."""

    engine: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetEngineRole:
    """``set role E prefill``: change an engine's role."""

    engine: str
    role: geranium_model.Role


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """``load model M version V on engine E``."""

    engine: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """``load adapter A version V on engine E``."""

    engine: str
    adapter: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """``stop host H``: shut its daemon down gracefully."""

    host: str


EngineOrder: TypeAlias = (
    DrainEngine | ResumeEngine | SetEngineRole | LoadModel | LoadAdapter
)
Order: TypeAlias = EngineOrder | StopHost


def engine_command(order: EngineOrder) -> geranium_model.EngineCommand:
    """Return the command to send to the engine."""
    match order:
        case DrainEngine():
            return geranium_model.Drain()
        case ResumeEngine():
            return geranium_model.Resume()
        case SetEngineRole(_, role):
            return geranium_model.SetRole(role)
        case LoadModel(_, model, version):
            return geranium_model.LoadModel(model, version)
        case LoadAdapter(_, adapter, version):
            return geranium_model.LoadAdapter(adapter, version)
