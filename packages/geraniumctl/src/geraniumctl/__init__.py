"""The command line for operators and its client."""

from .client import OperatorClient
from .exceptions import (
    ClientError,
    DocumentFileError,
    FailedAttempt,
    RefusedError,
    SettingsError,
    UnreachableError,
)
from .exit_codes import ExitCode
from .settings import Output, Settings

__all__ = [
    'ClientError',
    'DocumentFileError',
    'ExitCode',
    'FailedAttempt',
    'OperatorClient',
    'Output',
    'RefusedError',
    'Settings',
    'SettingsError',
    'UnreachableError',
]
