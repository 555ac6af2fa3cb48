"""Runs the statements of a script in order."""

import asyncio
import dataclasses
import itertools

from geranium_statements import (
    ScriptStatement,
    StatementError,
    Table,
    Watch,
    split_script,
)

from .client import OperatorClient
from .exceptions import ClientError
from .execution import Execution, execute, prepare
from .exit_codes import ExitCode
from .failures import report_failure, report_statement_error
from .printing import Printer

_MIN_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    statement: ScriptStatement
    execution: Execution


class ScriptRunner:
    """Runs statements and prints their results.

    Args:
        client: Sends the statements.
        printer: Prints the results.
        view_limit: Number of views that a ``watch`` shows, ``None`` for no
            limit.
    """

    def __init__(
        self,
        client: OperatorClient,
        printer: Printer,
        view_limit: int | None = None,
    ) -> None:
        self._client = client
        self._printer = printer
        self._view_limit = view_limit

    async def run(self, script: str, operation_id: str) -> ExitCode:
        """Run statements in order and stop at the first that fails.

        Nothing is sent if any statement is malformed.

        Args:
            script: Statements, separated by ``;`` or line ends.
            operation_id: Identifies the operations of the script; a retry
                with the same id has no second effect.
        """
        try:
            steps = _prepare_steps(script, operation_id)
        except StatementError as error:
            return report_statement_error(error, script)
        codes = set()
        for step in steps:
            code = await self._run_step(step, script)
            if code not in {ExitCode.OK, ExitCode.PARTIAL}:
                return code
            codes.add(code)
        return max(codes, default=ExitCode.OK)

    async def _run_step(self, step: _Step, script: str) -> ExitCode:
        try:
            return await self._execute(step.execution)
        except StatementError as error:
            if step.execution.text != step.statement.text:
                return report_statement_error(error, step.execution.text)
            start = (step.statement.line, step.statement.column)
            return report_statement_error(error.with_origin(*start), script)
        except ClientError as error:
            return report_failure(error)

    async def _execute(self, execution: Execution) -> ExitCode:
        match execution.statement:
            case Watch(_, interval):
                interval_s = max(interval.seconds, _MIN_INTERVAL_S)
                return await self._watch(execution, interval_s)
            case _:
                return self._print(await execute(self._client, execution))

    async def _watch(self, execution: Execution, interval_s: float) -> ExitCode:
        """Show a view repeatedly, and continue after a failed one."""
        code = ExitCode.OK
        for view in itertools.count(1):
            code = await self._show_view(execution)
            if view == self._view_limit:
                break
            await asyncio.sleep(interval_s)
        return code

    async def _show_view(self, execution: Execution) -> ExitCode:
        try:
            table = await execute(self._client, execution)
        except ClientError as error:
            return report_failure(error)
        self._printer.clear()
        return self._print(table)

    def _print(self, table: Table) -> ExitCode:
        self._printer.print_table(table)
        return ExitCode.PARTIAL if table.missing_hosts else ExitCode.OK


def _prepare_steps(script: str, operation_id: str) -> list[_Step]:
    statements = list(split_script(script))
    ids = _operation_ids(operation_id, len(statements))
    return [
        _Step(statement, _prepare(statement, statement_id))
        for statement, statement_id in zip(statements, ids, strict=True)
    ]


def _operation_ids(operation_id: str, count: int) -> list[str]:
    if count == 1:
        return [operation_id]
    return [f'{operation_id}-{number}' for number in range(1, count + 1)]


def _prepare(statement: ScriptStatement, operation_id: str) -> Execution:
    try:
        return prepare(statement.text, operation_id)
    except StatementError as error:
        raise error.with_origin(statement.line, statement.column) from None
