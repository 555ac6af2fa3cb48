"""Small fakes of the platform, engines and applications, for tests."""

from .application_api import create_application
from .engine_api import create_engine
from .exceptions import StandinError
from .platform_api import create_platform
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
    'StandinError',
    'StepModel',
    'create_application',
    'create_engine',
    'create_platform',
    'start_server',
]
