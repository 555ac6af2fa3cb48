"""Builds the state and clients shared by the daemon's components."""

import dataclasses
import random
import uuid

from geranium_coordination import (
    Acknowledgements,
    ClaimJournal,
    Clock,
    ConfigurationReplica,
    ConfigurationRepository,
    ConfigurationSettings,
    FreshnessSettings,
    SystemClock,
    UsageLedger,
)
from geranium_coordination import UsageSettings as LedgerSettings
from geranium_policy import SuspectRegister
from geranium_policy.suspects import SuspectSettings

from ..hosts import (
    ClaimRouter,
    HostDirectory,
    PeerLink,
    PeerReplicator,
    PresenceRegistry,
    WithdrawalAnnouncer,
    holder_name,
)
from ..platform import PlatformClient
from ..process import Lifecycle, Secrets, Settings, Telemetry
from .demand import ServiceDemands
from .fleet import Fleet
from .follower import ConfigurationFollower
from .gossip import Gossip
from .intents import EngineIntents
from .records import RequestLog
from .usage import UsageMeter

# A host is a voter once the withdrawal hold has passed since its start. The
# hold is longer than a configuration change may take.
_CONFIGURATION = ConfigurationSettings(call_budget_s=4)
_FRESHNESS = FreshnessSettings(confirmation_s=3, withdrawal_hold_s=6)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The state and clients shared by the components of a daemon."""

    settings: Settings
    secrets: Secrets
    incarnation: str
    lifecycle: Lifecycle
    clock: Clock
    rng: random.Random
    telemetry: Telemetry
    platform: PlatformClient
    presences: PresenceRegistry
    replica: ConfigurationReplica
    repository: ConfigurationRepository
    follower: ConfigurationFollower
    directory: HostDirectory
    acknowledgements: Acknowledgements
    fleet: Fleet
    demand: ServiceDemands
    intents: EngineIntents
    links_by_host: dict[str, PeerLink]
    announcer: WithdrawalAnnouncer
    claims: ClaimJournal
    suspects: SuspectRegister
    gossip: Gossip
    requests: RequestLog
    meter: UsageMeter


def build_context(settings: Settings, secrets: Secrets) -> Context:
    """Return the context for a daemon that is starting."""
    clock = SystemClock()
    platform = PlatformClient(settings.platform)
    directory = HostDirectory(random.Random())
    telemetry = Telemetry(settings.host, settings.zone)
    links_by_host: dict[str, PeerLink] = {}
    replication = _build_replication(
        settings, platform, directory, links_by_host
    )
    traffic = _build_traffic(clock)
    incarnation = uuid.uuid4().hex
    return Context(
        settings=settings,
        secrets=secrets,
        incarnation=incarnation,
        lifecycle=Lifecycle(),
        clock=clock,
        rng=random.Random(),
        telemetry=telemetry,
        platform=platform,
        presences=PresenceRegistry(platform),
        directory=directory,
        links_by_host=links_by_host,
        replica=replication.replica,
        repository=replication.repository,
        announcer=replication.announcer,
        follower=ConfigurationFollower(
            settings,
            replication.repository,
            replication.replica,
            directory,
            telemetry,
            clock,
        ),
        acknowledgements=Acknowledgements(),
        claims=_build_claims(settings, incarnation, replication),
        fleet=traffic.fleet,
        demand=traffic.demand,
        intents=EngineIntents(platform),
        suspects=traffic.suspects,
        gossip=traffic.gossip,
        requests=RequestLog(clock),
        meter=_build_meter(settings, incarnation, links_by_host, telemetry),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Replication:
    platform: PlatformClient
    directory: HostDirectory
    links_by_host: dict[str, PeerLink]
    replica: ConfigurationReplica
    announcer: WithdrawalAnnouncer
    repository: ConfigurationRepository


@dataclasses.dataclass(frozen=True, slots=True)
class _Traffic:
    fleet: Fleet
    demand: ServiceDemands
    suspects: SuspectRegister
    gossip: Gossip


def _build_replication(
    settings: Settings,
    platform: PlatformClient,
    directory: HostDirectory,
    links_by_host: dict[str, PeerLink],
) -> _Replication:
    replica = ConfigurationReplica(settings.host, _FRESHNESS)
    announcer = WithdrawalAnnouncer(
        settings.host,
        replica,
        directory,
        links_by_host,
    )
    repository = ConfigurationRepository(
        platform,
        _CONFIGURATION,
        announcer=announcer.announce,
    )
    return _Replication(
        platform,
        directory,
        links_by_host,
        replica,
        announcer,
        repository,
    )


def _build_traffic(clock: Clock) -> _Traffic:
    fleet = Fleet()
    suspects = SuspectRegister(SuspectSettings())
    demand = ServiceDemands(clock)
    gossip = Gossip(fleet, demand, suspects, clock)
    return _Traffic(fleet, demand, suspects, gossip)


def _build_claims(
    settings: Settings,
    incarnation: str,
    replication: _Replication,
) -> ClaimJournal:
    owners = ClaimRouter(
        settings.host,
        incarnation,
        replication.directory,
        replication.links_by_host,
    )
    holder = holder_name(settings.host, incarnation)
    return ClaimJournal(holder, replication.platform, owners)


def _build_meter(
    settings: Settings,
    incarnation: str,
    links_by_host: dict[str, PeerLink],
    telemetry: Telemetry,
) -> UsageMeter:
    ledger = UsageLedger(
        holder_name(settings.host, incarnation),
        PeerReplicator(settings.zone, links_by_host),
        LedgerSettings(batch_interval_s=settings.usage.batch_interval_s),
    )
    return UsageMeter(settings.usage, ledger, telemetry)
