"""Test doubles of the platform, engines and applications."""

from .application_api import create_application
from .client import StandinClient, StandinResponse, send_once
from .engine_api import create_engine
from .exceptions import StandinError
from .platform_api import create_platform
from .processes import StandinProcess, launch
from .records import StreamRecord
from .relay_server import Relay
from .server import start_server
from .settings import (
    ApplicationSettings,
    EngineSettings,
    LoadSettings,
    StepModel,
)

__all__ = [
    'ApplicationSettings',
    'EngineSettings',
    'LoadSettings',
    'Relay',
    'StandinClient',
    'StandinError',
    'StandinProcess',
    'StandinResponse',
    'StepModel',
    'StreamRecord',
    'create_application',
    'create_engine',
    'create_platform',
    'launch',
    'send_once',
    'start_server',
]
