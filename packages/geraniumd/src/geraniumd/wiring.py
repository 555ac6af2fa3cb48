"""Builds the caller gateway and the operator interface of a daemon."""

import dataclasses
from collections.abc import Callable

from geranium_policy import (
    RetryBudget,
    RetryPolicy,
    RetrySettings,
    RouterSettings,
)

from . import callers
from .backends import EngineClient, TargetTransport
from .duties import DutyManager
from .operators import (
    Fanout,
    LocalTables,
    OperatorApi,
    StateDump,
    StatementExecutor,
)
from .state import Context

_SEED_BITS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Clients:
    """HTTP clients of targets and of other daemons' operator interfaces."""

    target_transport: TargetTransport
    targets: callers.TargetClient
    fanout: Fanout

    async def close(self) -> None:
        """Close all connections."""
        await self.target_transport.close()
        await self.targets.close()
        await self.fanout.close()


def build_clients(context: Context) -> Clients:
    """Build the clients of a daemon."""
    settings = context.settings.targets
    return Clients(
        target_transport=TargetTransport(settings),
        targets=callers.TargetClient(settings),
        fanout=Fanout(context.directory),
    )


def build_gateway(
    context: Context,
    clients: Clients,
    admission: callers.CompletionAdmission,
) -> callers.Gateway:
    """Build the gateway for callers."""
    settings = context.settings.gateway
    access = callers.AccessControl(context.follower)
    request_reader = callers.IncomingRequestReader(
        settings, context.clock, context.lifecycle
    )
    accounting = callers.RequestAccounting(
        context.requests,
        context.meter,
        context.telemetry,
        context.clock,
    )
    completions, applications = _build_runners(context, clients, admission)
    return callers.Gateway(
        settings,
        context.follower,
        context.directory,
        context.lifecycle,
        callers.ModelEndpoint(
            settings, access, request_reader, completions, accounting
        ),
        callers.ApplicationEndpoint(
            access,
            request_reader,
            callers.IdempotentRunner(applications, context.claims),
            accounting,
        ),
    )


def _build_runners(
    context: Context,
    clients: Clients,
    admission: callers.CompletionAdmission,
) -> tuple[callers.CompletionRunner, callers.ApplicationRunner]:
    clock = context.clock
    selector = callers.TargetSelector(
        context.fleet,
        RouterSettings(seed=context.rng.getrandbits(_SEED_BITS)),
        clock,
        context.rng,
    )
    retry_settings = RetrySettings()
    budget = RetryBudget(retry_settings, clock.now())
    retries = RetryPolicy(retry_settings, budget, context.rng)
    recorder = callers.AttemptRecorder(
        context.telemetry, selector.health, clock
    )
    completions = callers.CompletionRunner(
        callers.CompletionDependencies(
            admission,
            selector,
            callers.SuspectGuard(
                context, EngineClient(clients.target_transport)
            ),
            callers.KvHandoff(clients.target_transport, context.fleet, clock),
            callers.StreamClient(
                context.settings.targets, clients.target_transport
            ),
            retries,
            recorder,
        ),
        clock,
    )
    applications = callers.ApplicationRunner(
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
    """Build the operator interface."""
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
