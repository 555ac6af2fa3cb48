"""Calls to engines and other targets over HTTP."""

from .control_transport import ControlAnswer, ControlTransport, NoAnswer
from .engine_interface import EngineClient, command_body
from .transport import (
    TargetTransport,
    raise_for_status,
    read_body,
    says_not_run,
)

__all__ = [
    'ControlAnswer',
    'ControlTransport',
    'EngineClient',
    'NoAnswer',
    'TargetTransport',
    'command_body',
    'raise_for_status',
    'read_body',
    'says_not_run',
]
