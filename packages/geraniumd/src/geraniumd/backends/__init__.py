"""Calls to engines and other targets over HTTP."""

from .control_transport import ControlResponse, ControlTransport, NoResponse
from .engine_interface import EngineClient, command_body
from .transport import (
    TargetTransport,
    is_not_run_response,
    raise_for_status,
    read_body,
)

__all__ = [
    'ControlResponse',
    'ControlTransport',
    'EngineClient',
    'NoResponse',
    'TargetTransport',
    'command_body',
    'is_not_run_response',
    'raise_for_status',
    'read_body',
]
