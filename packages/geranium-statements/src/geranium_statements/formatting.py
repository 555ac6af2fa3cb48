"""Formats statements canonically, for audit logs and for forwarding."""

import dataclasses
import enum
import json
import re
import types
from collections.abc import Mapping
from typing import Any

from . import commands, conditions, orders, queries
from .statements import Change, Statement

_BARE_NAME = re.compile('[A-Za-z0-9_][A-Za-z0-9_.-]*', re.ASCII)
_AMBIGUOUS_NAME = re.compile(
    r'\d+(\.\d+)?([eE][+-]?\d+|us|ms|s|min|h)?|true|false|none',
    re.ASCII,
)
_ADDRESS = re.compile(r'[A-Za-z0-9_.-]+:\d{1,5}', re.ASCII)
_PATH = re.compile(r'/[A-Za-z0-9_./{}*-]*', re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """A clause that is omitted if the field has its default."""

    field: str
    template: str


class _Format:
    """The clauses of a command or an order; the head is always written."""

    def __init__(self, head: str, *options: _Option) -> None:
        self.head = head
        self.options = options


_SERVICE_OPTIONS = (
    _Option('version', 'version {0}'),
    _Option('first_token_ms', 'first-token {0}ms'),
    _Option('between_tokens_ms', 'between-tokens {0}ms'),
)
_PURCHASE_OPTION = _Option('purchase', 'purchase {0}')
_PLACEMENT = '{name} for service {service} in zone {zone} at {address}'
_CONTRACT_KEY = 'for service {service} in zone {zone} purchase {purchase}'
_FORMATS_BY_TYPE: Mapping[type, _Format] = types.MappingProxyType(
    {
        commands.CreateZone: _Format('create zone {name} in region {region}'),
        commands.DeleteZone: _Format('delete zone {name}'),
        commands.CreateTeam: _Format(
            'create team {name}', _Option('weight', 'weight {0}')
        ),
        commands.SetTeam: _Format('set team {name} weight {weight}'),
        commands.DeleteTeam: _Format('delete team {name}'),
        commands.CreateKey: _Format(
            'create key {key_id} for team {team}',
            _Option('sha256', 'sha256 {0}'),
        ),
        commands.WithdrawKey: _Format('withdraw key {key_id}'),
        commands.CreateModelService: _Format(
            'create service {name} model {model}',
            *_SERVICE_OPTIONS,
        ),
        commands.CreateApplicationService: _Format(
            'create service {name} application'
        ),
        commands.SetService: _Format(
            'set service {name}',
            _Option('model', 'model {0}'),
            *_SERVICE_OPTIONS,
        ),
        commands.DeleteService: _Format('delete service {name}'),
        commands.AddEngine: _Format(
            f'add engine {_PLACEMENT}',
            _Option('role', 'role {0}'),
            _PURCHASE_OPTION,
            _Option('honours_fencing', 'fencing {0}'),
        ),
        commands.AddTarget: _Format(
            f'add target {_PLACEMENT}', _PURCHASE_OPTION
        ),
        commands.RemoveTarget: _Format('remove target {name}'),
        commands.SetRoute: _Format(
            'set route {name} for service {service}',
            _Option('path', 'path {0}'),
            _Option('methods', 'methods {0}'),
            _Option('repeatable', 'repeatable {0}'),
            _Option('open_to_all', 'open to all'),
            _Option('teams', 'teams {0}'),
        ),
        commands.DeleteRoute: _Format('delete route {name}'),
        commands.SetContract: _Format(
            f'set contract {_CONTRACT_KEY} committed {{committed}}'
            ' maximum {maximum} price {hourly_price}',
        ),
        commands.DeleteContract: _Format(
            f'delete contract {_CONTRACT_KEY}',
        ),
        commands.Cordon: _Format('cordon zone {zone}'),
        commands.Uncordon: _Format('uncordon zone {zone}'),
        orders.DrainEngine: _Format('drain engine {engine}'),
        orders.ResumeEngine: _Format('resume engine {engine}'),
        orders.SetEngineRole: _Format('set role {engine} {role}'),
        orders.LoadModel: _Format(
            'load model {model} version {version} on engine {engine}'
        ),
        orders.LoadAdapter: _Format(
            'load adapter {adapter} version {version} on engine {engine}'
        ),
        orders.StopHost: _Format('stop host {host}'),
    }
)


def format_statement(statement: Statement) -> str:
    """Return the canonical text, which parses to an equal statement.

    It contains no secret: ``create key`` has at most the digest of one.
    """
    match statement:
        case queries.Show():
            return f'show {_format_show(statement)}'
        case queries.Watch(show, interval):
            return (
                f'watch {_format_show(show)} every {_format_literal(interval)}'
            )
        case queries.ExplainRequest(request_id):
            return f'explain request {_format_name(request_id)}'
        case Change(command, None):
            return _format_directive(command)
        case Change(command, version):
            return f'{_format_directive(command)} if version {version}'
        case _:
            return _format_directive(statement)


def _format_name(text: str) -> str:
    return _quote_unless(_BARE_NAME, text)


def _quote_unless(pattern: re.Pattern[str], text: str) -> str:
    return text if pattern.fullmatch(text) else json.dumps(text)


def _format_show(show: queries.Show) -> str:
    clauses = [show.collection.value]
    if show.columns:
        columns = ', '.join(_format_column(column) for column in show.columns)
        clauses.append(f'columns {columns}')
    if show.where is not None:
        clauses.append(f'where {_format_condition(show.where)}')
    if show.order_by:
        keys = ', '.join(_format_sort_key(key) for key in show.order_by)
        clauses.append(f'order by {keys}')
    if show.limit is not None:
        clauses.append(f'limit {show.limit}')
    return ' '.join(clauses)


def _format_column(column: conditions.ColumnName) -> str:
    if column.name == 'not':
        return '"not"'
    return _format_name(column.name)


def _format_sort_key(key: queries.OrderBy) -> str:
    direction = ' desc' if key.descending else ''
    return f'{_format_column(key.column)}{direction}'


def _format_condition(condition: conditions.Condition) -> str:
    match condition:
        case conditions.AllOf(parts):
            return ' and '.join(_parenthesized(part) for part in parts)
        case conditions.AnyOf(parts):
            return ' or '.join(_parenthesized(part) for part in parts)
        case conditions.Not(part):
            return f'not {_parenthesized(part)}'
        case conditions.Membership(column, literals):
            listed = ', '.join(_format_literal(literal) for literal in literals)
            return f'{_format_column(column)} in ({listed})'
        case conditions.Comparison(column, operator, literal):
            return (
                f'{_format_column(column)} {operator.value}'
                f' {_format_literal(literal)}'
            )


def _parenthesized(condition: conditions.Condition) -> str:
    match condition:
        case conditions.AllOf() | conditions.AnyOf():
            return f'({_format_condition(condition)})'
        case _:
            return _format_condition(condition)


def _format_literal(literal: conditions.Literal) -> str:
    match literal:
        case conditions.Text(text) if _AMBIGUOUS_NAME.fullmatch(text):
            return json.dumps(text)
        case conditions.Text(text):
            return _format_name(text)
        case conditions.Number(text):
            return text
        case conditions.Duration(number, unit):
            return f'{number}{unit}'
        case conditions.Boolean(value):
            return 'true' if value else 'false'
        case conditions.Null():
            return 'none'


def _format_directive(directive: commands.Command | orders.Order) -> str:
    """Format a command or an order."""
    texts_by_field = {}
    for field in dataclasses.fields(directive):
        setting = getattr(directive, field.name)
        if setting != field.default:
            texts_by_field[field.name] = _format_field(field.name, setting)
    clause_format = _FORMATS_BY_TYPE[type(directive)]
    clauses = [clause_format.head.format(**texts_by_field)]
    clauses.extend(
        option.template.format(texts_by_field[option.field])
        for option in clause_format.options
        if option.field in texts_by_field
    )
    return ' '.join(clauses)


def _format_field(field: str, setting: Any) -> str:
    match field:
        case 'address':
            return _quote_unless(_ADDRESS, setting)
        case 'path':
            return _quote_unless(_PATH, setting)
        case 'honours_fencing':
            return 'honoured' if setting else 'ignored'
        case _:
            return _format_setting(setting)


def _format_setting(setting: Any) -> str:
    match setting:
        case bool():
            return 'yes' if setting else 'no'
        case enum.Enum():
            return str(setting.value)
        case tuple():
            return ', '.join(_format_name(text) for text in setting)
        case str():
            return _format_name(setting)
        case _:
            return str(setting)
