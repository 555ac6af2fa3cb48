"""Request handling for callers, from arrival to outcome."""

from .accounting import RequestAccounting
from .admission import Admitted, CompletionAdmission
from .application_endpoint import ApplicationEndpoint
from .applications import ApplicationRunner
from .attempts import AttemptRecorder
from .completions import CompletionDependencies, CompletionRunner
from .endpoints import AccessControl
from .events import EventBuffer
from .gateway import Gateway
from .handoff import KvHandoff
from .idempotency import IdempotentRunner
from .incoming_requests import IncomingRequestReader
from .model_endpoint import ModelEndpoint
from .selection import TargetSelector
from .streams import StreamClient
from .suspects import SuspectGuard
from .targets import TargetClient

__all__ = [
    'AccessControl',
    'Admitted',
    'ApplicationEndpoint',
    'ApplicationRunner',
    'AttemptRecorder',
    'CompletionAdmission',
    'CompletionDependencies',
    'CompletionRunner',
    'EventBuffer',
    'Gateway',
    'IdempotentRunner',
    'IncomingRequestReader',
    'KvHandoff',
    'ModelEndpoint',
    'RequestAccounting',
    'StreamClient',
    'SuspectGuard',
    'TargetClient',
    'TargetSelector',
]
