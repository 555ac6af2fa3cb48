from .builders import build_configuration
from .configuration import Configuration
from .contracts import Contract
from .documents import ConfigurationDocument
from .exceptions import (
    DocumentError,
    ModelError,
    NameTakenError,
    UnknownNameError,
)
from .orders import (
    Drain,
    EngineCommand,
    LoadAdapter,
    LoadModel,
    Resume,
    SetRole,
    TargetOrder,
)
from .outcomes import (
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RanAndFailed,
)
from .services import ApplicationService, ModelService, Route, Service
from .targets import (
    Backend,
    Engine,
    EngineLoad,
    Purchase,
    Role,
    Target,
    TargetState,
)
from .teams import Key, Team, generate_secret, key_digest
from .usage import Usage
from .validation import format_validation_errors, parse_document
from .zones import Host, HostKind, HostState, Zone

__all__ = [
    'ApplicationService',
    'Backend',
    'Completed',
    'Configuration',
    'ConfigurationDocument',
    'Contract',
    'DocumentError',
    'Drain',
    'Engine',
    'EngineCommand',
    'EngineLoad',
    'Host',
    'HostKind',
    'HostState',
    'Key',
    'LoadAdapter',
    'LoadModel',
    'ModelError',
    'ModelService',
    'NameTakenError',
    'NotRun',
    'Outcome',
    'OutcomeUnknown',
    'Purchase',
    'RanAndFailed',
    'Resume',
    'Role',
    'Route',
    'Service',
    'SetRole',
    'Target',
    'TargetOrder',
    'TargetState',
    'Team',
    'UnknownNameError',
    'Usage',
    'Zone',
    'build_configuration',
    'format_validation_errors',
    'generate_secret',
    'key_digest',
    'parse_document',
]
