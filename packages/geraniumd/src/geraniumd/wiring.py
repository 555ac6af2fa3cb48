"""Puts the callers' and the operators' side of a daemon together."""

import dataclasses
from collections.abc import Callable

from geranium_policy import (
    RetryBudget,
    RetryPolicy,
    RetrySettings,
    RouterSettings,
)

from .accounting import RequestAccounting
from .admission import CompletionAdmission
from .application_endpoint import ApplicationEndpoint
from .applications import ApplicationRunner
from .arrivals import ArrivalReader
from .attempts import AttemptRecorder
from .claimed_calls import ClaimingRunner
from .completions import CompletionParts, CompletionRunner
from .context import Context
from .dumps import StateDump
from .duties import DutyManager
from .endpoints import AccessControl
from .engines import EngineClient
from .execution import StatementExecutor
from .fanout import Fanout
from .gateway import Gateway
from .handoff import KvHandoff
from .model_endpoint import ModelEndpoint
from .operator import OperatorApi
from .selection import TargetSelector
from .streams import StreamClient
from .suspects import SuspectGuard
from .tables import LocalTables
from .targets import TargetClient
from .transport import TargetTransport

_SEED_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Clients:
    """The clients of targets and of other daemons' operator side."""

    streams: TargetTransport
    targets: TargetClient
    fanout: Fanout

    async def close(self) -> None:
        """Close the connections."""
        await self.streams.close()
        await self.targets.close()
        await self.fanout.close()


def build_clients(context: Context) -> Clients:
    """Return the clients of a daemon."""
    settings = context.settings.targets
    return Clients(
        streams=TargetTransport(settings),
        targets=TargetClient(settings),
        fanout=Fanout(context.directory),
    )


def build_gateway(
    context: Context,
    clients: Clients,
    admission: CompletionAdmission,
) -> Gateway:
    """Return the callers' side."""
    settings = context.settings.gateway
    access = AccessControl(context.follower)
    arrivals = ArrivalReader(settings, context.clock)
    accounting = RequestAccounting(
        context.requests,
        context.meter,
        context.telemetry,
        context.clock,
    )
    completions, applications = _build_runners(context, clients, admission)
    return Gateway(
        settings,
        context.follower,
        context.directory,
        context.lifecycle,
        ModelEndpoint(settings, access, arrivals, completions, accounting),
        ApplicationEndpoint(
            access,
            arrivals,
            ClaimingRunner(applications, context.claims),
            accounting,
        ),
    )


def _build_runners(
    context: Context,
    clients: Clients,
    admission: CompletionAdmission,
) -> tuple[CompletionRunner, ApplicationRunner]:
    clock = context.clock
    selector = TargetSelector(
        context.fleet,
        RouterSettings(seed=context.rng.getrandbits(_SEED_BITS)),
        clock,
        context.rng,
    )
    retry_settings = RetrySettings()
    budget = RetryBudget(retry_settings, clock.now())
    retries = RetryPolicy(retry_settings, budget, context.rng)
    recorder = AttemptRecorder(context.telemetry, selector.health, clock)
    completions = CompletionRunner(
        CompletionParts(
            admission,
            selector,
            SuspectGuard(context, EngineClient(clients.streams)),
            KvHandoff(clients.streams, context.fleet, clock),
            StreamClient(context.settings.targets, clients.streams),
            retries,
            recorder,
        ),
        clock,
    )
    applications = ApplicationRunner(
        selector,
        clients.targets,
        retries,
        recorder,
        clock,
    )
    return completions, applications


def build_operator_api(
    context: Context,
    clients: Clients,
    duties: DutyManager,
    stop: Callable[[], None],
) -> OperatorApi:
    """Return the operators' side."""
    tables = LocalTables(context, duties)
    dump = StateDump(context, tables)
    executor = StatementExecutor(context, tables, clients.fanout, stop)
    return OperatorApi(
        context.secrets,
        executor,
        dump,
        context.telemetry,
        context.lifecycle,
    )
