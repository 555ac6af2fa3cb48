"""Builds a configuration from its document."""

from .configuration import Configuration
from .contracts import Contract
from .documents import (
    ApplicationServiceDocument,
    BackendDocument,
    ConfigurationDocument,
    EngineDocument,
    ModelServiceDocument,
    RouteDocument,
    ServiceDocument,
    TargetDocument,
)
from .services import ApplicationService, ModelService, Route, Service
from .targets import Backend, Engine, Target
from .teams import Key, Team
from .zones import Zone


def build_configuration(
    document: ConfigurationDocument,
    version: int = 0,
) -> Configuration:
    """Return the configuration that a document describes."""
    return Configuration(
        version=version,
        zones_by_name={
            zone.name: Zone(**zone.model_dump()) for zone in document.zones
        },
        services_by_name={
            service.name: _build_service(service)
            for service in document.services
        },
        targets_by_name={
            target.name: _build_target(target) for target in document.targets
        },
        teams_by_name={
            team.name: Team(**team.model_dump()) for team in document.teams
        },
        keys_by_sha256={
            key.sha256: Key(**key.model_dump()) for key in document.keys
        },
        routes_by_name={
            route.name: _build_route(route) for route in document.routes
        },
        contracts=tuple(
            Contract(**contract.model_dump()) for contract in document.contracts
        ),
        cordoned_zones=frozenset(document.cordoned_zones),
    )


def _build_service(document: ServiceDocument) -> Service:
    match document:
        case ModelServiceDocument():
            return ModelService(**document.model_dump(exclude={'kind'}))
        case ApplicationServiceDocument():
            return ApplicationService(name=document.name)


def _build_target(document: BackendDocument) -> Backend:
    fields = document.model_dump(exclude={'kind'})
    match document:
        case EngineDocument():
            return Engine(**fields)
        case TargetDocument():
            return Target(**fields)


def _build_route(document: RouteDocument) -> Route:
    fields = document.model_dump()
    fields['methods'] = frozenset(method.upper() for method in document.methods)
    fields['teams'] = frozenset(document.teams)
    return Route(**fields)
