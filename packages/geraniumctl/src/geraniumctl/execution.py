"""Prepares statements and sends them to hosts."""

import dataclasses
import uuid

from geranium_model import generate_secret, key_digest
from geranium_statements import (
    Change,
    Column,
    Query,
    Statement,
    Table,
    Watch,
    format_statement,
    parse_statement,
)
from geranium_statements.commands import CreateKey

from .client import OperatorClient
from .exceptions import UnreachableError


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A key whose secret is generated locally; only its digest is sent."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A statement that can be sent repeatedly with one effect.

    Args:
        statement: The parsed statement.
        text: The text to send.
        operation_id: Identifies the operation, the same in every retry.
        new_key: The key that it creates, if its secret is generated here.
    """

    statement: Statement
    text: str
    operation_id: str
    new_key: NewKey | None = None

    @property
    def has_effect(self) -> bool:
        """Whether the statement changes anything."""
        return not isinstance(self.statement, Query)


class UnconfirmedError(UnreachableError):
    """A change was sent, but no host confirmed it.

    ``execution`` can be sent again with the same operation id.
    """

    def __init__(self, error: UnreachableError, execution: Execution) -> None:
        super().__init__(error.attempts)
        self.execution = execution


def generate_operation_id() -> str:
    """Return a new operation id."""
    return uuid.uuid4().hex


def prepare(text: str, operation_id: str) -> Execution:
    """Parse a statement and prepare it for sending.

    The secret of a new key is generated here and only its digest is sent, so
    a retry of the statement creates the same key.

    Raises:
        StatementError: If the statement is malformed.
    """
    statement = parse_statement(text)
    match statement:
        case Change(CreateKey(sha256=None) as command):
            new_key = NewKey(command.key_id, generate_secret())
            digest = key_digest(new_key.secret)
            command_with_digest = dataclasses.replace(command, sha256=digest)
            change = dataclasses.replace(statement, command=command_with_digest)
            return Execution(
                change, format_statement(change), operation_id, new_key
            )
        case Watch(show):
            return Execution(statement, format_statement(show), operation_id)
        case _:
            return Execution(statement, text, operation_id)


async def execute(client: OperatorClient, execution: Execution) -> Table:
    """Return the result, including the secret of a new key.

    Raises:
        StatementError: If the host reports a malformed statement.
        RefusedError: If the host rejects the request.
        UnreachableError: If no host responds.
    """
    if not execution.has_effect:
        return await client.query(execution.text)
    try:
        table = await client.change(execution.text, execution.operation_id)
    except UnreachableError as error:
        if error.maybe_sent:
            raise UnconfirmedError(error, execution) from error
        raise
    if execution.new_key is None:
        return table
    return _add_secret(table, execution.new_key)


def _add_secret(table: Table, new_key: NewKey) -> Table:
    columns = (Column('key'), Column('secret'))
    cells = (new_key.key_id, new_key.secret)
    notes = (*table.notes, 'the secret is shown this once')
    if not table.rows:
        return dataclasses.replace(
            table, columns=columns, rows=(cells,), notes=notes
        )
    return dataclasses.replace(
        table,
        columns=(*columns, *table.columns),
        rows=tuple((*cells, *row) for row in table.rows),
        notes=notes,
    )
