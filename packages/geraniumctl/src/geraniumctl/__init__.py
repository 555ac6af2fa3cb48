"""The operators' command line, and the client that it is built on."""

from .client import OperatorClient
from .exceptions import (
    Attempt,
    ClientError,
    DocumentFileError,
    RefusedError,
    SettingsError,
    UnreachableError,
)
from .exit_codes import ExitCode
from .settings import Output, Settings

__all__ = [
    'Attempt',
    'ClientError',
    'DocumentFileError',
    'ExitCode',
    'OperatorClient',
    'Output',
    'RefusedError',
    'Settings',
    'SettingsError',
    'UnreachableError',
]
