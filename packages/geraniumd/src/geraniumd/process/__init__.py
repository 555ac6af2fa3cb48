"""What every process needs: settings, errors, logs, metrics, life cycle."""

from .exceptions import (
    CallerGoneError,
    DaemonError,
    FrameError,
    OperatorConflictError,
    OperatorError,
    OperatorRefusedError,
    OperatorUnavailableError,
    PeerAuthenticationError,
    PeerError,
    SettingsError,
    TargetError,
    TargetFailedError,
    TargetLostError,
    TargetRefusedError,
    TargetSilentError,
)
from .lifecycle import Lifecycle
from .listeners import HttpListener, split_address
from .logs import LEVELS_BY_NAME, configure_logs, get_logger
from .settings import (
    ControlSettings,
    GatewaySettings,
    PeerSettings,
    PlatformSettings,
    Secrets,
    Settings,
    TargetSettings,
    UsageSettings,
    load_secrets,
    load_settings,
    parse_settings,
    settings_schema,
)
from .settings_meanings import MEANINGS
from .settings_page import render_page, setting_paths
from .supervision import supervise
from .telemetry import Telemetry

__all__ = [
    'LEVELS_BY_NAME',
    'MEANINGS',
    'CallerGoneError',
    'ControlSettings',
    'DaemonError',
    'FrameError',
    'GatewaySettings',
    'HttpListener',
    'Lifecycle',
    'OperatorConflictError',
    'OperatorError',
    'OperatorRefusedError',
    'OperatorUnavailableError',
    'PeerAuthenticationError',
    'PeerError',
    'PeerSettings',
    'PlatformSettings',
    'Secrets',
    'Settings',
    'SettingsError',
    'TargetError',
    'TargetFailedError',
    'TargetLostError',
    'TargetRefusedError',
    'TargetSettings',
    'TargetSilentError',
    'Telemetry',
    'UsageSettings',
    'configure_logs',
    'get_logger',
    'load_secrets',
    'load_settings',
    'parse_settings',
    'render_page',
    'setting_paths',
    'settings_schema',
    'split_address',
    'supervise',
]
