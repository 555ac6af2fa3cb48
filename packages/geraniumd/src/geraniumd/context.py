"""What the parts of one daemon share."""

import dataclasses
import random
import uuid
from functools import partial

from geranium_coordination import (
    Acknowledgements,
    ClaimJournal,
    Clock,
    ConfigurationReplica,
    ConfigurationRepository,
    SystemClock,
)
from geranium_policy import SuspectRegister
from geranium_policy.suspects import SuspectSettings

from .directory import HostDirectory, holder_name
from .fleet import Fleet
from .follower import ConfigurationFollower
from .gossip import Gossip
from .platform import PlatformClient
from .presence import PresenceRegistry
from .records import RequestLog
from .settings import Secrets, Settings
from .telemetry import Telemetry
from .usage import UsageMeter


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The state and the clients that several parts of a daemon use."""

    settings: Settings
    secrets: Secrets
    incarnation: str
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
    claims: ClaimJournal
    suspects: SuspectRegister
    gossip: Gossip
    requests: RequestLog
    meter: UsageMeter


def build_context(settings: Settings, secrets: Secrets) -> Context:
    """Return the context of a daemon that starts now."""
    incarnation = uuid.uuid4().hex
    clock = SystemClock()
    platform = PlatformClient(settings.platform)
    directory = HostDirectory(random.Random())
    fleet = Fleet()
    suspects = SuspectRegister(SuspectSettings())
    follower = _build_follower(settings, platform, directory, clock)
    return Context(
        settings=settings,
        secrets=secrets,
        incarnation=incarnation,
        clock=clock,
        rng=random.Random(),
        telemetry=follower.telemetry,
        platform=platform,
        presences=PresenceRegistry(platform),
        replica=follower.replica,
        repository=follower.repository,
        follower=follower,
        directory=directory,
        acknowledgements=Acknowledgements(),
        fleet=fleet,
        claims=_build_claims(settings, incarnation, platform, directory),
        suspects=suspects,
        gossip=Gossip(fleet, suspects, clock),
        requests=RequestLog(clock),
        meter=UsageMeter(follower.telemetry),
    )


def _build_follower(
    settings: Settings,
    platform: PlatformClient,
    directory: HostDirectory,
    clock: Clock,
) -> ConfigurationFollower:
    return ConfigurationFollower(
        settings,
        ConfigurationRepository(platform, clock=clock),
        ConfigurationReplica(settings.host, clock=clock),
        directory,
        Telemetry(settings.host, settings.zone),
        clock,
    )


def _build_claims(
    settings: Settings,
    incarnation: str,
    platform: PlatformClient,
    directory: HostDirectory,
) -> ClaimJournal:
    holder = holder_name(settings.host, incarnation)
    is_gone = partial(directory.is_gone, own=holder)
    return ClaimJournal(holder, platform, is_gone)
