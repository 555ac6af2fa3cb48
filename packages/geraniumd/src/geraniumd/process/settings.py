"""Settings of a daemon, loaded from a JSON file and validated at start."""

import os
import pathlib
from typing import Annotated

import pydantic
from geranium_model import format_validation_errors
from pydantic.dataclasses import dataclass

from .exceptions import SettingsError

OPERATOR_TOKEN_VARIABLE = 'GERANIUM_OPERATOR_TOKEN'
PEER_SECRET_VARIABLE = 'GERANIUM_PEER_SECRET'

MAX_SECONDS = 86400

_STRICT = pydantic.ConfigDict(extra='forbid')

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
Address = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[\w.-]+:\d{1,5}$'),
]
PositiveSeconds = Annotated[float, pydantic.Field(gt=0, le=MAX_SECONDS)]
Bytes = Annotated[int, pydantic.Field(gt=0)]


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class EndpointSettings:
    """The address to listen on and the address that clients connect to.

    With port 0 the kernel assigns a free port. Without ``advertise``
    clients connect to the bound address.
    """

    listen: Address = '127.0.0.1:0'
    advertise: Address | None = None


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class GatewaySettings:
    """Limits of the gateway for callers.

    A completion is refused immediately if its first token is not expected
    within ``first_token_patience`` times the service's objective.
    """

    max_body_bytes: Bytes = 4_194_304
    default_deadline_s: PositiveSeconds = 120
    max_deadline_s: PositiveSeconds = 600
    address_ttl_s: PositiveSeconds = 5
    first_token_patience: Annotated[float, pydantic.Field(ge=1)] = 4
    max_buffered_answer_bytes: Bytes = 16_777_216
    caller_stall_s: PositiveSeconds = 30


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class TargetSettings:
    """Connections to targets and intervals at which they are polled."""

    connect_timeout_s: PositiveSeconds = 1
    silence_timeout_s: PositiveSeconds = 3
    application_timeout_s: PositiveSeconds = 30
    idle_connection_s: PositiveSeconds = 15
    load_interval_s: PositiveSeconds = 0.5
    list_interval_s: PositiveSeconds = 1


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class PlatformSettings:
    """Connection to the platform."""

    address: Address
    call_timeout_s: PositiveSeconds = 2
    retry_interval_s: PositiveSeconds = 0.5
    presence_interval_s: PositiveSeconds = 2


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class PeerSettings:
    """Connections to other daemons."""

    heartbeat_interval_s: PositiveSeconds = 0.5
    silence_timeout_s: PositiveSeconds = 2
    handshake_timeout_s: PositiveSeconds = 2
    reconnect_interval_s: PositiveSeconds = 0.5
    max_frame_bytes: Bytes = 8_388_608
    links_in_zone: Annotated[int, pydantic.Field(ge=1)] = 8
    links_per_other_zone: Annotated[int, pydantic.Field(ge=1)] = 4


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class UsageSettings:
    """Collection and reporting of usage.

    A window is reported when ``late_s`` seconds have passed since its end.
    """

    window_s: PositiveSeconds = 60
    late_s: PositiveSeconds = 15
    batch_interval_s: PositiveSeconds = 5


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class ControlSettings:
    """Options of the control duties; they must be equal on all hosts."""

    plan_roles: bool = False


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class ShutdownSettings:
    """Time limits of the steps of a graceful shutdown."""

    linger_s: PositiveSeconds = 6
    drain_s: PositiveSeconds = 120


@dataclass(frozen=True, kw_only=True, config=_STRICT)
class Settings:
    """All settings of one daemon.

    Teams, keys, services, routes, targets and contracts are defined in the
    platform's configuration document instead.
    """

    host: Name
    zone: Name
    region: Name
    platform: PlatformSettings
    caller: EndpointSettings = EndpointSettings()
    operator: EndpointSettings = EndpointSettings()
    peer: EndpointSettings = EndpointSettings()
    operator_token_file: str | None = None
    peer_secret_file: str | None = None
    gateway: GatewaySettings = GatewaySettings()
    targets: TargetSettings = TargetSettings()
    peers: PeerSettings = PeerSettings()
    usage: UsageSettings = UsageSettings()
    control: ControlSettings = ControlSettings()
    shutdown: ShutdownSettings = ShutdownSettings()


@dataclass(frozen=True, kw_only=True)
class Secrets:
    """The secrets of a daemon; they never appear in a dump or a log."""

    operator_token: str
    peer_secret: bytes

    def __repr__(self) -> str:
        """Return a text without the secrets."""
        return 'Secrets(...)'


_SETTINGS_ADAPTER = pydantic.TypeAdapter(Settings)


def parse_settings(text: str | bytes) -> Settings:
    """Parse settings from JSON.

    Raises:
        SettingsError: With one complaint for each error, which starts with
            the field's path.
    """
    try:
        return _SETTINGS_ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        raise SettingsError(tuple(format_validation_errors(error))) from None


def load_settings(path: pathlib.Path) -> Settings:
    """Load settings from a file.

    Raises:
        SettingsError: If the file can't be read or its content is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError((f'{path}: {error.strerror}',)) from error
    return parse_settings(text)


def load_secrets(settings: Settings) -> Secrets:
    """Load the secrets from their files or environment variables.

    Raises:
        SettingsError: If a secret is missing or its file can't be read.
    """
    token = _load_secret(
        'operator_token_file',
        settings.operator_token_file,
        OPERATOR_TOKEN_VARIABLE,
    )
    peer_secret = _load_secret(
        'peer_secret_file',
        settings.peer_secret_file,
        PEER_SECRET_VARIABLE,
    )
    return Secrets(operator_token=token, peer_secret=peer_secret.encode())


def settings_schema() -> dict[str, object]:
    """Return the JSON schema of the settings file."""
    return _SETTINGS_ADAPTER.json_schema()


def _load_secret(field: str, path: str | None, variable_name: str) -> str:
    if path is None:
        secret = os.environ.get(variable_name, '')
    else:
        secret = _read_secret(field, pathlib.Path(path))
    if not secret:
        complaint = f'{field}: no file named and {variable_name} is not set'
        raise SettingsError((complaint,))
    return secret


def _read_secret(field: str, path: pathlib.Path) -> str:
    try:
        return path.read_text().strip()
    except OSError as error:
        complaint = f'{field}: {path}: {error.strerror}'
        raise SettingsError((complaint,)) from error
