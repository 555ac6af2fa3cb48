"""The daemon that runs on every entry host."""

from .cli import main
from .daemon import Daemon
from .process import (
    DaemonError,
    Secrets,
    Settings,
    SettingsError,
    load_settings,
    parse_settings,
)

__all__ = [
    'Daemon',
    'DaemonError',
    'Secrets',
    'Settings',
    'SettingsError',
    'load_settings',
    'main',
    'parse_settings',
]
