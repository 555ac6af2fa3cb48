"""Tables of this daemon's state for operators."""

from collections.abc import Callable, Iterable, Mapping
from operator import attrgetter
from typing import TypeVar

from geranium_statements import Collection, Row, Table, build_table

from ..duties import DutyManager
from ..state import Context, EngineEntry, FleetEntry, RequestRecord
from .configuration_tables import CONFIGURATION_BUILDERS

_Entry = TypeVar('_Entry', bound=FleetEntry)

_MS_PER_S = 1000
_LOAD_COLUMNS = 6

# Each daemon holds only its own rows of these collections.
COLLECTIONS_BY_HOST = frozenset(
    (
        Collection.REQUESTS,
        Collection.PEERS,
        Collection.LEASES,
        Collection.CONFIGURATION,
    ),
)


class LocalTables:
    """Builds the table of each collection from this daemon's state."""

    def __init__(self, context: Context, duties: DutyManager) -> None:
        self._host = context.settings.host
        self._follower = context.follower
        self._directory = context.directory
        self._fleet = context.fleet
        self._requests = context.requests
        self._clock = context.clock
        self._links_by_host = context.links_by_host
        self._duties = duties
        self._builders_by_collection: Mapping[
            Collection,
            Callable[[], Table],
        ] = {
            Collection.HOSTS: self._hosts,
            Collection.TARGETS: self._targets,
            Collection.ENGINES: self._engines,
            Collection.REQUESTS: self._request_rows,
            Collection.LEASES: self._leases,
            Collection.PEERS: self._peers,
            Collection.CONFIGURATION: self._configuration,
        }

    def build(self, collection: Collection) -> Table:
        """Return the collection from this daemon's state."""
        build_configuration_table = CONFIGURATION_BUILDERS.get(collection)
        if build_configuration_table is not None:
            return build_configuration_table(self._follower.configuration)
        return self._builders_by_collection[collection]()

    def explain(self, request_id: str) -> Table:
        """Return all steps that this daemon recorded for a request."""
        rows = [
            (
                self._host,
                record.execution_id,
                round((step.at - record.arrived_at) * _MS_PER_S, 1),
                str(step),
            )
            for record in self._requests.find(request_id)
            for step in record.steps
        ]
        return build_table(('host', 'execution', 'after_ms', 'step'), rows)

    def _hosts(self) -> Table:
        members = {member.host for member in self._directory.members()}
        rows: list[Row] = []
        for presence in self._directory.presences_by_host.values():
            state = 'live'
            if presence.host not in members:
                state = 'leaving'
            elif self._directory.is_silent(presence.host):
                state = 'silent'
            rows.append(
                (
                    presence.host,
                    presence.zone,
                    presence.region,
                    state,
                    presence.caller_address,
                    presence.operator_address,
                ),
            )
        columns = ('host', 'zone', 'region', 'state', 'caller', 'operator')
        return build_table(columns, rows)

    def _targets(self) -> Table:
        rows = [
            (
                entry.target.name,
                entry.target.service,
                entry.target.zone,
                entry.target.purchase.value,
                entry.target.state.value,
                entry.target.address,
                entry.running,
                entry.last_error,
            )
            for entry in _by_name(self._fleet.entries_by_name.values())
        ]
        columns = (
            'target',
            'service',
            'zone',
            'purchase',
            'state',
            'address',
            'running_here',
            'last_error',
        )
        return build_table(columns, rows)

    def _engines(self) -> Table:
        rows = map(self._engine_row, _by_name(self._fleet.engine_entries()))
        columns = (
            'engine',
            'service',
            'zone',
            'role',
            'state',
            'accepting',
            'running',
            'waiting',
            'kv_pieces_used',
            'kv_pieces',
            'age_ms',
            'running_here',
        )
        return build_table(columns, rows)

    def _engine_row(self, entry: EngineEntry) -> Row:
        engine = entry.target
        identity: Row = (engine.name, engine.service, engine.zone)
        state = engine.state.value
        load = entry.view.load
        if load is None:
            unknown: Row = (None,) * _LOAD_COLUMNS
            return (
                *identity,
                engine.role.value,
                state,
                *unknown,
                entry.running,
            )
        reported: Row = (
            load.accepting,
            load.running,
            load.waiting,
            load.kv_pieces_used,
            load.kv_pieces,
            self._age_ms(load.sampled_at),
        )
        return (*identity, load.role.value, state, *reported, entry.running)

    def _request_rows(self) -> Table:
        records = (
            *self._requests.recent,
            *self._requests.running_by_execution.values(),
        )
        columns = (
            'request',
            'host',
            'team',
            'service',
            'target',
            'attempts',
            'outcome',
            'age_ms',
            'duration_ms',
        )
        return build_table(columns, map(self._request_row, records))

    def _request_row(self, record: RequestRecord) -> Row:
        ended_at = record.ended_at or self._clock.now()
        duration_ms = round((ended_at - record.arrived_at) * _MS_PER_S, 1)
        identity: Row = (record.request_id, self._host, record.team)
        progress: Row = (record.service, record.target, record.attempts)
        age_ms = self._age_ms(record.arrived_at)
        return (*identity, *progress, record.outcome, age_ms, duration_ms)

    def _peers(self) -> Table:
        rows: list[Row] = []
        for link in self._links_by_host.values():
            version = link.status.report.version if link.status else None
            rows.append(
                (
                    self._host,
                    link.presence.host,
                    link.presence.zone,
                    link.is_connected,
                    self._age_ms(link.responded_at),
                    version,
                    link.last_error,
                ),
            )
        columns = (
            'host',
            'peer',
            'zone',
            'connected',
            'age_ms',
            'version',
            'last_error',
        )
        return build_table(columns, rows)

    def _leases(self) -> Table:
        holders = self._duties.runner.dump().holders
        rows = [
            (
                holder.duty,
                holder.epoch,
                holder.host,
                holder.session,
                self._remaining_ms(holder.held_until),
            )
            for holder in holders
            if holder.host == self._host
        ]
        columns = ('duty', 'epoch', 'host', 'session', 'held_for_ms')
        return build_table(columns, rows)

    def _configuration(self) -> Table:
        row = (
            self._host,
            self._follower.replica.version,
            self._follower.is_fresh(),
        )
        return build_table(('host', 'version', 'fresh'), (row,))

    def _remaining_ms(self, deadline: float | None) -> float | None:
        age_ms = self._age_ms(deadline)
        return None if age_ms is None else -age_ms

    def _age_ms(self, instant: float | None) -> float | None:
        if instant is None:
            return None
        return round((self._clock.now() - instant) * _MS_PER_S, 1)


def _by_name(entries: Iterable[_Entry]) -> list[_Entry]:
    return sorted(entries, key=attrgetter('name'))
