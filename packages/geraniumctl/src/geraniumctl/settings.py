"""Settings from options, the environment and a JSON file."""

import dataclasses
import enum
import getpass
import json
import pathlib
from typing import Annotated, TypeAlias

import pydantic
from geranium_model import format_validation_errors

from .exceptions import SettingsError

# A change waits for the platform and then for the hosts to apply it.
DEFAULT_TIMEOUT_S = 20.0
DEFAULT_QUERY_TIMEOUT_S = 5.0


class Output(enum.Enum):
    """The output formats."""

    TABLE = 'table'
    JSON = 'json'
    NDJSON = 'ndjson'


Address: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^(https?://)?[\w.\[\]:-]+:\d{1,5}$'),
]
OperatorName: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[\w.@-]{1,64}$'),
]


class SettingsDocument(pydantic.BaseModel):
    """The JSON settings file with the options that override it."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    addresses: tuple[Address, ...] = ()
    token_file: pathlib.Path | None = None
    output: Output = Output.TABLE
    timeout_s: pydantic.PositiveFloat = DEFAULT_TIMEOUT_S
    query_timeout_s: pydantic.PositiveFloat = DEFAULT_QUERY_TIMEOUT_S
    history_file: pathlib.Path = pathlib.Path('~/.geraniumctl-history')
    operator: OperatorName | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the command line.

    Args:
        addresses: Operator addresses, tried in turn; ``host:port`` or a URL.
        token: The operator's token, empty if there is none.
        output: The output format.
        timeout_s: Timeout of a change, for each host.
        query_timeout_s: Timeout of a query, for each host.
        history_file: The file of the prompt's history.
        operator: The operator's name in the audit log.
    """

    addresses: tuple[str, ...] = ()
    token: str = dataclasses.field(default='', repr=False)
    output: Output = Output.TABLE
    timeout_s: float = DEFAULT_TIMEOUT_S
    query_timeout_s: float = DEFAULT_QUERY_TIMEOUT_S
    history_file: pathlib.Path = pathlib.Path('~/.geraniumctl-history')
    operator: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Overrides:
    """Settings of options and the environment; ``None`` keeps the file's."""

    addresses: tuple[str, ...] = ()
    token_file: pathlib.Path | None = None
    token: str | None = None
    output: str | None = None
    timeout_s: float | None = None


def load_settings(path: pathlib.Path | None, overrides: Overrides) -> Settings:
    """Return the settings of a file with overrides applied.

    Args:
        path: The JSON file, if any.
        overrides: Settings that override those of the file.

    Raises:
        SettingsError: If a field is malformed or a file cannot be read.
    """
    fields = {} if path is None else _read_json(path)
    if not isinstance(fields, dict):
        raise SettingsError(f'{path}: is no JSON object')
    fields.update(_overriding_fields(overrides))
    try:
        document = SettingsDocument.model_validate(fields)
    except pydantic.ValidationError as error:
        errors = '; '.join(format_validation_errors(error))
        raise SettingsError(f'settings: {errors}') from None
    return Settings(
        addresses=document.addresses,
        token=_token(document, overrides),
        output=document.output,
        timeout_s=document.timeout_s,
        query_timeout_s=document.query_timeout_s,
        history_file=document.history_file.expanduser(),
        operator=document.operator or getpass.getuser(),
    )


def _overriding_fields(overrides: Overrides) -> dict[str, object]:
    fields = {
        'addresses': overrides.addresses or None,
        'token_file': overrides.token_file,
        'output': overrides.output,
        'timeout_s': overrides.timeout_s,
        'query_timeout_s': overrides.timeout_s,
    }
    return {
        name: setting for name, setting in fields.items() if setting is not None
    }


def _token(document: SettingsDocument, overrides: Overrides) -> str:
    """Return the token of the option, else of the environment or the file."""
    if overrides.token_file is None and overrides.token is not None:
        return overrides.token
    if document.token_file is None:
        return ''
    return _read_text(document.token_file.expanduser()).strip()


def _read_json(path: pathlib.Path) -> object:
    try:
        return json.loads(_read_text(path))
    except ValueError as error:
        raise SettingsError(f'{path}: is no JSON: {error}') from error


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text('utf-8')
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
