"""Executes statements of operators."""

import dataclasses
from collections.abc import Callable
from functools import partial

from geranium_coordination import (
    AnnouncementError,
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeOutcomeUnknownError,
    ChangeRejected,
    ConfigurationUnavailableError,
    Mutation,
)
from geranium_model import (
    ConfigurationDocument,
    ModelError,
    generate_secret,
)
from geranium_statements import (
    Change,
    Collection,
    ExplainRequest,
    HostResponse,
    Show,
    StopHost,
    Table,
    Watch,
    apply_command,
    build_table,
    format_statement,
    merge_responses,
    parse_statement,
    run_query,
)
from geranium_statements.commands import Command, CreateKey

from ..process import (
    OperatorConflictError,
    OperatorRefusedError,
    OperatorUnavailableError,
    get_logger,
)
from ..state import Context
from .fanout import Fanout, HostQuery
from .order_requests import EngineOrderRequests
from .requests import OperatorRequest
from .stored_tables import STORED_COLLECTIONS, StoredTables
from .tables import COLLECTIONS_BY_HOST, LocalTables

_ROLLOUT_WAIT_S = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration change that an operator requested."""

    mutation: Mutation
    operation_id: str
    author: str
    description: str
    expected_version: int | None = None


class StatementExecutor:
    """Executes statements for the whole system on any host."""

    def __init__(
        self,
        context: Context,
        tables: LocalTables,
        fanout: Fanout,
        stop: Callable[[], None],
    ) -> None:
        self._host = context.settings.host
        self._repository = context.repository
        self._replica = context.replica
        self._acknowledgements = context.acknowledgements
        self._directory = context.directory
        self._tables = tables
        self._fanout = fanout
        self._stop = stop
        self._engine_orders = EngineOrderRequests(context)
        self._stored_tables = StoredTables(context.platform)
        self._log = get_logger()

    async def execute(self, request: OperatorRequest) -> Table:
        """Parse and execute a statement.

        Raises:
            StatementError: If it does not parse or names an unknown column.
            OperatorError: If it cannot be executed.
        """
        statement = parse_statement(request.text)
        match statement:
            case Show():
                return await self._show(statement, request)
            case Watch(show=show):
                return await self._show(show, request)
            case ExplainRequest(request_id=request_id):
                local = self._tables.explain(request_id)
                return await self._with_other_hosts(local, request)
            case Change():
                return await self._change(statement, request)
            case StopHost():
                return await self._stop_host(statement, request)
            case _:
                return await self._engine_orders.order(statement, request)

    async def replace_configuration(
        self,
        document: ConfigurationDocument,
        request: OperatorRequest,
    ) -> Table:
        """Replace the whole configuration.

        Raises:
            OperatorError: If the change was not made, or may not have been.
        """
        return await self.change(
            ConfigurationChange(
                lambda _present: document,
                request.operation_id,
                request.author,
                'load configuration',
            ),
        )

    async def change(self, change: ConfigurationChange) -> Table:
        """Make a change and wait a few seconds until most hosts apply it.

        The table's note reports the progress of the rollout.

        Raises:
            OperatorError: If it was not made, or may not have been.
        """
        outcome = await self._make(change)
        match outcome:
            case ChangeConflict():
                raise OperatorConflictError(
                    f'{outcome.author} came first: {outcome.description} '
                    f'(operation {outcome.operation_id}); the version is '
                    f'{outcome.version} now',
                )
            case ChangeRejected(complaints=complaints):
                raise OperatorRefusedError('; '.join(complaints))
            case ChangeAccepted(version=version):
                return await self._report(change, version)

    async def _make(self, change: ConfigurationChange) -> ChangeOutcome:
        try:
            return await self._repository.change(
                change.mutation,
                change.operation_id,
                change.author,
                change.description,
                change.expected_version,
            )
        except ModelError as error:
            raise OperatorRefusedError(str(error)) from error
        except ChangeOutcomeUnknownError as error:
            raise OperatorUnavailableError(
                'the platform did not answer; the change may have been made: '
                f'send it again with operation id {change.operation_id}',
            ) from error
        except (ConfigurationUnavailableError, AnnouncementError) as error:
            raise OperatorUnavailableError(
                f'the change was not made: {error}',
            ) from error

    async def _report(
        self,
        change: ConfigurationChange,
        version: int,
    ) -> Table:
        self._log.info(
            'configuration_changed',
            version=version,
            author=change.author,
            operation_id=change.operation_id,
            statement=change.description,
        )
        loaded = await self._repository.load(self._replica.loaded)
        self._replica.apply(loaded)
        self._acknowledgements.record(
            self._host,
            self._replica.version,
        )
        hosts = [member.host for member in self._directory.members()]
        progress = await self._acknowledgements.wait(
            version,
            hosts,
            _ROLLOUT_WAIT_S,
        )
        return build_table(
            ('version', 'in_force', 'hosts'),
            ((version, progress.in_force, len(hosts)),),
            (str(progress),),
        )

    async def _change(
        self,
        statement: Change,
        request: OperatorRequest,
    ) -> Table:
        command = statement.command
        secret = generate_secret()
        table = await self.change(
            ConfigurationChange(
                partial(_apply, command, secret),
                request.operation_id,
                request.author,
                _describe_without_digest(statement),
                statement.expected_version,
            ),
        )
        if isinstance(command, CreateKey) and command.sha256 is None:
            return _with_secret(table, command, secret)
        return table

    async def _show(self, show: Show, request: OperatorRequest) -> Table:
        table = await self._build(show.collection)
        if show.collection in COLLECTIONS_BY_HOST:
            # Each host filters and limits its own rows to save transfer.
            part = run_query(show.per_host_query(), table)
            if request.is_local:
                return part
            table = await self._with_other_hosts(part, request)
        return run_query(show, table)

    async def _stop_host(
        self,
        statement: StopHost,
        request: OperatorRequest,
    ) -> Table:
        if statement.host == self._host:
            self._log.info('stop_ordered', author=request.author)
            self._stop()
            return build_table(('host', 'state'), ((self._host, 'leaving'),))
        if request.is_local:
            return build_table(('host', 'state'))
        query = HostQuery(request.text, request.token)
        response = await self._fanout.query_host(statement.host, query)
        return merge_responses((response,))

    async def _build(self, collection: Collection) -> Table:
        if collection in STORED_COLLECTIONS:
            return await self._stored_tables.build(collection)
        return self._tables.build(collection)

    async def _with_other_hosts(
        self,
        table: Table,
        request: OperatorRequest,
    ) -> Table:
        if request.is_local:
            return table
        query = HostQuery(request.text, request.token)
        responses = await self._fanout.query_all(query)
        return merge_responses((HostResponse(self._host, table), *responses))


def _apply(
    command: Command,
    secret: str,
    document: ConfigurationDocument,
) -> ConfigurationDocument:
    return apply_command(command, document, secret).document


def _describe_without_digest(statement: Change) -> str:
    """Return the statement's text for logs, without the key's digest."""
    command = statement.command
    if isinstance(command, CreateKey):
        command = dataclasses.replace(command, sha256=None)
    return format_statement(dataclasses.replace(statement, command=command))


def _with_secret(table: Table, command: CreateKey, secret: str) -> Table:
    version, in_force, hosts = table.rows[0]
    return build_table(
        ('key', 'team', 'secret', 'version', 'in_force', 'hosts'),
        ((command.key_id, command.team, secret, version, in_force, hosts),),
        (*table.notes, 'the secret is shown this once'),
    )
