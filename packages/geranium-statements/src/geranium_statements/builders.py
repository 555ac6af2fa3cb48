"""Builds statements from parse trees."""

import dataclasses
import types
from typing import Any

import lark
from geranium_model import Purchase, Role

from . import commands, orders
from .exceptions import StatementError
from .query_builders import QueryBuilder
from .statements import Change

_FIELDS_BY_KEYWORD = types.MappingProxyType(
    {
        'first-token': 'first_token_ms',
        'between-tokens': 'between_tokens_ms',
        'fencing': 'honours_fencing',
        'open': 'open_to_all',
    },
)
_REPEATABLE_BY_KEYWORD = types.MappingProxyType(
    {'yes': True, 'no': False, 'by-method': None},
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    field: str
    setting: Any
    keyword: lark.Token


@dataclasses.dataclass(frozen=True, slots=True)
class _Placement:
    name: str
    service: str
    zone: str
    address: str


def _fields_by_name(options: tuple[_Option, ...]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for option in options:
        if option.field in fields:
            raise StatementError(
                f'{option.keyword} is given twice',
                option.keyword.line or 1,
                option.keyword.column or 1,
            )
        fields[option.field] = option.setting
    return fields


@lark.v_args(inline=True)
class _OptionBuilder(QueryBuilder):
    """Builds the options of configuration commands."""

    role = Role
    purchase = Purchase
    placement = _Placement

    def option(self, keyword: lark.Token, setting: Any = True) -> _Option:
        """Return the option with the name of the command's field."""
        field = _FIELDS_BY_KEYWORD.get(keyword, str(keyword))
        return _Option(field, setting, keyword)

    def weight(self, amount: float) -> float:
        """Return the weight."""
        return amount

    def fencing(self, token: lark.Token) -> bool:
        """Return whether fencing is honoured."""
        return str(token) == 'honoured'

    def repeatable(self, token: lark.Token) -> bool | None:
        """Return whether calls are idempotent; ``None`` for by-method."""
        return _REPEATABLE_BY_KEYWORD[token]

    def method_list(self, *methods: str) -> tuple[str, ...]:
        """Return the methods in upper case."""
        return tuple(method.upper() for method in methods)

    def team_list(self, *teams: str) -> tuple[str, ...]:
        """Return the teams."""
        return teams

    def contract_key(
        self,
        service: str,
        zone: str,
        keyword: lark.Token,
        purchase: Purchase,
    ) -> commands.DeleteContract:
        """Return the key of a contract: service, zone and purchase."""
        return commands.DeleteContract(service, zone, purchase)


@lark.v_args(inline=True)
class _CommandBuilder(_OptionBuilder):
    """Builds the configuration commands."""

    create_zone = commands.CreateZone
    delete_zone = commands.DeleteZone
    set_team = commands.SetTeam
    delete_team = commands.DeleteTeam
    withdraw_key = commands.WithdrawKey
    create_application_service = commands.CreateApplicationService
    delete_service = commands.DeleteService
    remove_target = commands.RemoveTarget
    delete_route = commands.DeleteRoute
    cordon = commands.Cordon
    uncordon = commands.Uncordon

    def create_team(
        self,
        name: str,
        weight: float | None,
    ) -> commands.CreateTeam:
        """Return the command."""
        if weight is None:
            return commands.CreateTeam(name)
        return commands.CreateTeam(name, weight)

    def create_key(
        self,
        key_id: str,
        team: str,
        digest: lark.Token | None,
    ) -> commands.CreateKey:
        """Return the command."""
        sha256 = None if digest is None else str(digest)
        return commands.CreateKey(key_id, team, sha256)

    def create_model_service(
        self,
        name: str,
        *options: _Option,
    ) -> commands.CreateModelService:
        """Return the command."""
        return commands.CreateModelService(name, **_fields_by_name(options))

    def set_service(
        self,
        name: str,
        *options: _Option,
    ) -> commands.SetService:
        """Return the command."""
        return commands.SetService(name, **_fields_by_name(options))

    def add_engine(
        self,
        placement: _Placement,
        *options: _Option,
    ) -> commands.AddEngine:
        """Return the command."""
        return commands.AddEngine(
            **dataclasses.asdict(placement), **_fields_by_name(options)
        )

    def add_target(
        self,
        placement: _Placement,
        *options: _Option,
    ) -> commands.AddTarget:
        """Return the command."""
        return commands.AddTarget(
            **dataclasses.asdict(placement), **_fields_by_name(options)
        )

    def set_route(
        self,
        name: str,
        service: str,
        *options: _Option,
    ) -> commands.SetRoute:
        """Return the command."""
        return commands.SetRoute(name, service, **_fields_by_name(options))

    def set_contract(
        self,
        contract_key: commands.DeleteContract,
        committed: lark.Token,
        maximum: lark.Token,
        price: float,
    ) -> commands.SetContract:
        """Return the command."""
        return commands.SetContract(
            contract_key.service,
            contract_key.zone,
            contract_key.purchase,
            int(committed),
            int(maximum),
            price,
        )

    def delete_contract(
        self,
        contract_key: commands.DeleteContract,
    ) -> commands.DeleteContract:
        """Return the command."""
        return contract_key


@lark.v_args(inline=True)
class StatementBuilder(_CommandBuilder):
    """Builds statements of all kinds."""

    drain_engine = orders.DrainEngine
    resume_engine = orders.ResumeEngine
    set_engine_role = orders.SetEngineRole
    stop_host = orders.StopHost

    def load_model(
        self,
        model: str,
        version: str,
        engine: str,
    ) -> orders.LoadModel:
        """Return the order."""
        return orders.LoadModel(engine, model, version)

    def load_adapter(
        self,
        adapter: str,
        version: str,
        engine: str,
    ) -> orders.LoadAdapter:
        """Return the order."""
        return orders.LoadAdapter(engine, adapter, version)

    def change(
        self,
        command: commands.Command,
        version: lark.Token | None,
    ) -> Change:
        """Return the command with the configuration version it expects."""
        expected_version = None if version is None else int(version)
        return Change(command, expected_version)
