"""Command-line options generated from settings classes."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any, ClassVar, Protocol, TypeVar

import click


class _Settings(Protocol):
    __dataclass_fields__: ClassVar[dict[str, Any]]


SettingsT = TypeVar('SettingsT', bound=_Settings)
_OPTION_TYPES = (str, int, float)


def create_options(
    settings_type: type[Any],
    excluded: tuple[str, ...] = (),
) -> Iterator[click.Option]:
    """Yield an option for each string or number field.

    Options have the names and defaults of the fields.
    """
    for field in dataclasses.fields(settings_type):
        if field.type in _OPTION_TYPES and field.name not in excluded:
            flag = field.name.replace('_', '-')
            yield click.Option(
                (f'--{flag}',),
                type=field.type,
                default=field.default,
                show_default=True,
            )


def build_settings(
    settings_type: type[SettingsT],
    values: Mapping[str, Any],
) -> SettingsT:
    """Return settings built from the values that match its fields."""
    names = {field.name for field in dataclasses.fields(settings_type)}
    return settings_type(
        **{name: values[name] for name in names & values.keys()}
    )
