"""Writes the page of settings from the models.

``python -m geraniumd.process.settings_page`` prints ``docs/SETTINGS.md``.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

from .settings import settings_schema
from .settings_meanings import MEANINGS

_ENDPOINT = 'EndpointSettings'
_REFERENCE = '$ref'
_NONE = '-'

_INTRODUCTION = """# Settings

Written by `python -m geraniumd.process.settings_page` from the models; a test fails
when this page is not current. A daemon reads one JSON file at its start;
`geraniumd --check-settings FILE` names every fault by its path, and
`geraniumd --print-schema` prints the JSON schema. An unknown field is a fault.
What teams share is in the configuration instead (`STATEMENTS.md`).

Names end in their unit: `_s` seconds, `_bytes` bytes.
"""


def render_page() -> str:
    """Return the page in Markdown."""
    schema: Any = settings_schema()
    sections = [_INTRODUCTION, _render_section('The file', '', schema)]
    for field, listed in _fields(schema):
        if _REFERENCE in listed and _definition_name(listed) != _ENDPOINT:
            title = f'`{field}`'
            sections.append(
                _render_section(title, f'{field}.', _resolve(schema, listed)),
            )
    endpoint = schema['$defs'][_ENDPOINT]
    title = '`caller`, `operator` and `peer`'
    sections.append(_render_section(title, '', endpoint))
    return '\n'.join(sections)


def setting_paths() -> Iterator[str]:
    """Yield the path of each setting; those of endpoints have no prefix."""
    schema: Any = settings_schema()
    for field, listed in _fields(schema):
        if _REFERENCE not in listed:
            yield field
        elif _definition_name(listed) != _ENDPOINT:
            for name, _ in _fields(_resolve(schema, listed)):
                yield f'{field}.{name}'
    for name, _ in _fields(schema['$defs'][_ENDPOINT]):
        yield name


def _render_section(
    title: str,
    prefix: str,
    definition: Any,
) -> str:
    required = definition.get('required', ())
    lines = [
        f'## {title}\n',
        definition['description'].replace('``', '`'),
        '\n| setting | default | allowed | meaning |',
        '| --- | --- | --- | --- |',
    ]
    for field, listed in _fields(definition):
        cells = (
            f'`{field}`',
            'required' if field in required else _default(listed),
            _allowed(listed),
            _meaning(f'{prefix}{field}', listed),
        )
        joined = ' | '.join(cells)
        lines.append(f'| {joined} |')
    return '\n'.join((*lines, ''))


def _meaning(path: str, listed: Any) -> str:
    if _REFERENCE in listed:
        return 'see below'
    return MEANINGS.get(path, _NONE)


def _default(listed: Any) -> str:
    default = listed['default']
    if isinstance(default, dict) or default is None:
        return _NONE
    text = json.dumps(default)
    return f'`{text}`'


def _allowed(listed: Any) -> str:
    """Return the type with its bounds."""
    match listed:
        case {'$ref': _}:
            return 'object'
        case {'anyOf': [allowed, *_]}:
            return _allowed(allowed)
        case {'pattern': pattern}:
            return f'`{pattern}`'
    bounds = [
        f'{symbol} {listed[keyword]}'
        for keyword, symbol in (
            ('exclusiveMinimum', '>'),
            ('minimum', '>='),
            ('maximum', '<='),
        )
        if keyword in listed
    ]
    return ' '.join((listed['type'], ', '.join(bounds))).strip()


def _fields(definition: Any) -> Iterable[tuple[str, Any]]:
    properties: dict[str, Any] = definition['properties']
    return properties.items()


def _resolve(schema: Any, listed: Any) -> Any:
    return schema['$defs'][_definition_name(listed)]


def _definition_name(listed: Any) -> str:
    return str(listed[_REFERENCE]).rpartition('/')[2]


if __name__ == '__main__':
    sys.stdout.write(render_page())
