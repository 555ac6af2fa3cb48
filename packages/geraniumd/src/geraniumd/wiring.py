"""Puts the callers' and the operators' side of a daemon together."""

import dataclasses

from .accounting import RequestAccounting
from .application_endpoint import ApplicationEndpoint
from .applications import ApplicationRunner
from .arrivals import ArrivalDesk
from .attempts import AttemptRecorder
from .completions import CompletionRunner
from .context import Context
from .dumps import StateDump
from .endpoints import AccessControl
from .execution import StatementExecutor
from .fanout import Fanout
from .gateway import Gateway
from .model_endpoint import ModelEndpoint
from .operator import OperatorApi, ReadyCheck
from .peering import Peering
from .streams import StreamClient
from .tables import LocalTables
from .targets import TargetClient
from .transport import TargetTransport


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


def build_gateway(context: Context, clients: Clients) -> Gateway:
    """Return the callers' side."""
    settings = context.settings.gateway
    access = AccessControl(context.follower)
    desk = ArrivalDesk(settings, context.clock)
    recorder = AttemptRecorder(context.telemetry)
    accounting = RequestAccounting(
        context.requests,
        context.meter,
        context.telemetry,
        context.clock,
    )
    completions = CompletionRunner(
        settings,
        context.fleet,
        StreamClient(context.settings.targets, clients.streams),
        recorder,
        context.rng,
    )
    applications = ApplicationRunner(
        settings,
        context.fleet,
        clients.targets,
        recorder,
        context.rng,
    )
    return Gateway(
        settings,
        context.follower,
        context.directory,
        ModelEndpoint(settings, access, desk, completions, accounting),
        ApplicationEndpoint(access, desk, applications, accounting),
    )


def build_operator_api(
    context: Context,
    clients: Clients,
    peering: Peering,
    is_ready: ReadyCheck,
) -> OperatorApi:
    """Return the operators' side."""
    tables = LocalTables(context, peering)
    dump = StateDump(context, tables)
    executor = StatementExecutor(context, tables, clients.fanout)
    return OperatorApi(
        context.secrets,
        executor,
        dump,
        context.telemetry,
        is_ready,
    )
