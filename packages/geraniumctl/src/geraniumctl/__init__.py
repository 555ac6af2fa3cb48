"""The command line for operators and its client."""

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
