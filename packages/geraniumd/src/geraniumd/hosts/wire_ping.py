"""Cap'n Proto encoding of the peer updates that pings carry."""

from typing import Any

from geranium_policy import (
    ConsumptionReport,
    CrashNotice,
    InFlight,
    RoleDemand,
    TeamConsumption,
)

from .messages import EngineDispatch, Ping, ServiceConsumption, ServiceDemand
from .wire_ages import MS_PER_S, encode_age


def ping_fields(ping: Ping) -> dict[str, Any]:
    """Return the schema fields of a ping."""
    return {
        'dispatches': [_dispatch_fields(row) for row in ping.dispatches],
        'consumption': [_consumption_fields(row) for row in ping.consumption],
        'demand': [_demand_fields(row) for row in ping.demand],
        'crashes': [_crash_fields(row) for row in ping.crashes],
    }


def read_ping(ping: Any) -> Ping:
    """Return the ping of a Cap'n Proto reader."""
    return Ping(
        dispatches=tuple(map(_read_dispatch, ping.dispatches)),
        consumption=tuple(map(_read_consumption, ping.consumption)),
        demand=tuple(map(_read_demand, ping.demand)),
        crashes=tuple(map(_read_crash, ping.crashes)),
    )


def _dispatch_fields(dispatch: EngineDispatch) -> dict[str, Any]:
    return {
        'engine': dispatch.engine,
        'requests': dispatch.in_flight.requests,
        'prefillTokens': dispatch.in_flight.prefill_tokens,
        'kvPieces': dispatch.in_flight.kv_pieces,
        'reserved': dispatch.is_reserved,
    }


def _read_dispatch(row: Any) -> EngineDispatch:
    in_flight = InFlight(row.requests, row.prefillTokens, row.kvPieces)
    return EngineDispatch(row.engine, in_flight, row.reserved)


def _consumption_fields(consumption: ServiceConsumption) -> dict[str, Any]:
    report = consumption.report
    return {
        'service': consumption.service,
        'daemon': report.daemon,
        'large': [
            _team_fields(team, consumed)
            for team, consumed in report.large_by_team.items()
        ],
        'tail': _team_fields('', report.tail),
        'tailTeams': report.tail_teams,
    }


def _read_consumption(row: Any) -> ServiceConsumption:
    report = ConsumptionReport(
        daemon=row.daemon,
        large_by_team={
            consumed.team: _read_team(consumed) for consumed in row.large
        },
        tail=_read_team(row.tail),
        tail_teams=row.tailTeams,
    )
    return ServiceConsumption(row.service, report)


def _team_fields(team: str, consumed: TeamConsumption) -> dict[str, Any]:
    return {
        'team': team,
        'served': consumed.served,
        'backlog': consumed.backlog,
        'queued': consumed.queued,
    }


def _read_team(row: Any) -> TeamConsumption:
    return TeamConsumption(row.served, row.backlog, row.queued)


def _demand_fields(demand: ServiceDemand) -> dict[str, Any]:
    return {
        'service': demand.service,
        'prefill': demand.demand.prefill,
        'decode': demand.demand.decode,
    }


def _read_demand(row: Any) -> ServiceDemand:
    return ServiceDemand(row.service, RoleDemand(row.prefill, row.decode))


def _crash_fields(notice: CrashNotice) -> dict[str, Any]:
    return {
        'fingerprint': notice.fingerprint,
        'crashId': notice.crash_id,
        'ageMs': encode_age(notice.age_s),
        'cleared': notice.cleared,
    }


def _read_crash(row: Any) -> CrashNotice:
    return CrashNotice(
        row.fingerprint,
        row.crashId,
        row.ageMs / MS_PER_S,
        row.cleared,
    )
