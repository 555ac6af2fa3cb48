"""Options shared by several commands."""

import dataclasses
import os
import pathlib
from collections.abc import Callable
from typing import Any, TypeAlias

import click

from .exceptions import SettingsError
from .execution import generate_operation_id
from .settings import Output, Overrides, Settings, load_settings

_Command: TypeAlias = Callable[..., Any]
_Decorator: TypeAlias = Callable[[_Command], _Command]

FILE_TYPE = click.Path(dir_okay=False, path_type=pathlib.Path)

output_option = click.option(
    '--output',
    type=click.Choice([output.value for output in Output]),
    help='Output format.',
)


class _OptionGroup:
    """Decorator that adds several options to a command, in order."""

    def __init__(self, *options: _Decorator) -> None:
        self._options = options

    def __call__(self, command: _Command) -> _Command:
        for option in reversed(self._options):
            command = option(command)
        return command


connection_options = _OptionGroup(
    click.option(
        '--address',
        'addresses',
        multiple=True,
        envvar='GERANIUM_ADDRESS',
        metavar='HOST:PORT',
        help='Operator address; several are tried in turn until one responds. '
        'Environment: GERANIUM_ADDRESS, separated by spaces.',
    ),
    click.option(
        '--token-file',
        type=FILE_TYPE,
        help="File that holds the operator's token. Environment: "
        'GERANIUM_TOKEN, the token itself.',
    ),
    click.option(
        '--settings',
        'settings_path',
        type=FILE_TYPE,
        help='JSON file with addresses, token_file, output, timeout_s, '
        'query_timeout_s, history_file and operator; options override it.',
    ),
    click.option(
        '--timeout',
        'timeout_s',
        type=float,
        help='Timeout for each host in seconds; the default is 5 for a query '
        'and 20 for a change.',
    ),
    output_option,
)
script_options = _OptionGroup(
    click.option(
        '-f',
        '--file',
        'script_file',
        type=click.File(encoding='utf-8'),
        help='File of statements; - for standard input.',
    ),
    click.option(
        '--operation-id',
        default=generate_operation_id,
        help='Id of an operation to retry: a host that applied it does not '
        'apply it again.',
    ),
    output_option,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """The sources of the settings, which are read on demand."""

    settings_path: pathlib.Path | None
    overrides: Overrides

    @classmethod
    def from_options(
        cls,
        settings_path: pathlib.Path | None,
        **options: Any,
    ) -> 'Invocation':
        """Return the invocation with these options and the environment."""
        token = os.environ.get('GERANIUM_TOKEN')
        return cls(settings_path, Overrides(token=token, **options))

    def load_settings(self, output: str | None = None) -> Settings:
        """Return the settings.

        Args:
            output: Output format that overrides all other sources.

        Raises:
            SettingsError: If they are malformed or contain no address.
        """
        overrides = self.overrides
        if output is not None:
            overrides = dataclasses.replace(overrides, output=output)
        settings = load_settings(self.settings_path, overrides)
        if not settings.addresses:
            raise SettingsError(
                'no address is configured: set --address, GERANIUM_ADDRESS or '
                'addresses in the --settings file',
            )
        return settings
