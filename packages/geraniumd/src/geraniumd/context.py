"""What the parts of one daemon share."""

import dataclasses
import random
import uuid

from geranium_coordination import (
    Acknowledgements,
    Clock,
    ConfigurationReplica,
    ConfigurationRepository,
    SystemClock,
)
from geranium_policy import SuspectRegister
from geranium_policy.suspects import SuspectSettings

from .directory import HostDirectory
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
    suspects: SuspectRegister
    gossip: Gossip
    requests: RequestLog
    meter: UsageMeter


def build_context(settings: Settings, secrets: Secrets) -> Context:
    """Return the context of a daemon that starts now."""
    telemetry = Telemetry(settings.host, settings.zone)
    clock = SystemClock()
    platform = PlatformClient(settings.platform)
    replica = ConfigurationReplica(settings.host, clock=clock)
    directory = HostDirectory(random.Random())
    fleet = Fleet()
    suspects = SuspectRegister(SuspectSettings())
    follower = ConfigurationFollower(
        settings,
        ConfigurationRepository(platform, clock=clock),
        replica,
        directory,
        telemetry,
        clock,
    )
    return Context(
        settings=settings,
        secrets=secrets,
        incarnation=uuid.uuid4().hex,
        clock=clock,
        rng=random.Random(),
        telemetry=telemetry,
        platform=platform,
        presences=PresenceRegistry(platform),
        replica=replica,
        repository=follower.repository,
        follower=follower,
        directory=directory,
        acknowledgements=Acknowledgements(),
        fleet=fleet,
        suspects=suspects,
        gossip=Gossip(fleet, suspects, clock),
        requests=RequestLog(clock),
        meter=UsageMeter(telemetry),
    )
