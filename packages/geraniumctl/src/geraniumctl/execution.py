"""Executes statements through the operators' hosts."""

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
    describe,
    parse_statement,
)
from geranium_statements.commands import CreateKey

from .client import OperatorClient
from .exceptions import UnreachableError


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A key whose secret was generated here; only its digest is sent."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A statement that is ready to be sent, as often as it takes.

    Args:
        statement: What was parsed.
        text: The text that is sent.
        operation_id: Identifies the effect, however often it is sent.
        new_key: The key that it creates, if any.
    """

    statement: Statement
    text: str
    operation_id: str
    new_key: NewKey | None = None

    @property
    def has_effect(self) -> bool:
        """Whether it changes anything."""
        return not isinstance(self.statement, Query)


class UnconfirmedError(UnreachableError):
    """A change was sent and no host confirmed it.

    ``execution`` says how to send it again with one effect.
    """

    def __init__(self, error: UnreachableError, execution: Execution) -> None:
        super().__init__(error.attempts)
        self.execution = execution


def generate_operation_id() -> str:
    """Return a fresh id for an operation."""
    return uuid.uuid4().hex


def prepare(text: str, operation_id: str) -> Execution:
    """Parse a statement and make it ready to be sent.

    A key's secret is generated here and only its digest goes out, so that
    sending the statement again makes the same key.

    Raises:
        StatementError: If the statement is malformed.
    """
    statement = parse_statement(text)
    match statement:
        case Change(CreateKey(sha256=None) as command):
            new_key = NewKey(command.key_id, generate_secret())
            digest = key_digest(new_key.secret)
            keyed = dataclasses.replace(command, sha256=digest)
            change = dataclasses.replace(statement, command=keyed)
            return Execution(change, describe(change), operation_id, new_key)
        case Watch(show):
            return Execution(statement, describe(show), operation_id)
        case _:
            return Execution(statement, text, operation_id)


async def execute(client: OperatorClient, execution: Execution) -> Table:
    """Return the answer, with the secret of a key that was created.

    Raises:
        StatementError: If the host finds the statement malformed.
        RefusedError: If the host refuses it.
        UnreachableError: If no host answers.
    """
    if not execution.has_effect:
        return await client.ask(execution.text)
    try:
        table = await client.change(execution.text, execution.operation_id)
    except UnreachableError as error:
        if error.maybe_sent:
            raise UnconfirmedError(error, execution) from error
        raise
    if execution.new_key is None:
        return table
    return _with_key(table, execution.new_key)


def _with_key(table: Table, new_key: NewKey) -> Table:
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
