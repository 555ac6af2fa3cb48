"""Tasks of the command line that send requests to hosts."""

import dataclasses
from typing import TypeAlias

import aiohttp
from geranium_model import ConfigurationDocument

from .client import OperatorClient
from .execution import generate_operation_id
from .exit_codes import ExitCode
from .printing import Printer
from .running import ScriptRunner
from .settings import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class RunScript:
    """Run statements; ``view_limit`` limits the views of a ``watch``."""

    text: str
    operation_id: str = dataclasses.field(default_factory=generate_operation_id)
    view_limit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadConfiguration:
    """Replace the whole configuration."""

    document: ConfigurationDocument


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """Print the state dump of a host."""


Task: TypeAlias = RunScript | LoadConfiguration | ReadState


async def perform(task: Task, settings: Settings) -> ExitCode:
    """Perform a task, print its result and return the exit code.

    Raises:
        RefusedError: If a host rejects the configuration or the read of its
            state.
        UnreachableError: If no host responds to one of these requests.
    """
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(settings, session)
        printer = Printer(settings.output)
        match task:
            case RunScript(text, operation_id, view_limit):
                runner = ScriptRunner(client, printer, view_limit)
                return await runner.run(text, operation_id)
            case LoadConfiguration(document):
                return await _load(document, client, printer)
            case ReadState():
                printer.print_json(await client.read_state())
                return ExitCode.OK


async def _load(
    document: ConfigurationDocument,
    client: OperatorClient,
    printer: Printer,
) -> ExitCode:
    table = await client.put_configuration(
        document.model_dump(mode='json'),
        generate_operation_id(),
    )
    printer.print_table(table)
    return ExitCode.PARTIAL if table.missing_hosts else ExitCode.OK
