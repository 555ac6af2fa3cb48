"""Small fakes of the platform, engines and applications, for development and tests."""

from .application_api import ApplicationSettings, create_application
from .exceptions import StandinError
from .platform_api import create_platform
from .server import start_server

__all__ = [
    'ApplicationSettings',
    'StandinError',
    'create_application',
    'create_platform',
    'start_server',
]
