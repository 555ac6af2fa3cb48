"""The components of a host that all its requests share."""

import dataclasses
from collections.abc import Callable

from geranium_policy.crash_causes import CrashCauses, RequestFingerprints
from geranium_policy.suspects import request_fingerprint

from .catalogue import Team
from .decision_log import DecisionLog
from .load_tracker import LoadTracker
from .messages import IncomingRequest, PromptPart
from .peer_forwarding import PeerClient, ServiceReach
from .peer_updates import Outbox
from .ports import TargetPort
from .retry_shares import RetryShares
from .shutdown import Shutdown
from .stream_origin_updates import StreamOrigin
from .stream_origins import StreamOrigins, StreamOriginSettings
from .target_selector import TargetSelector
from .team_quotas import QuotaGrant, QuotaSources, TeamQuotas
from .telemetry import Telemetry
from .usage import UsageCounter
from .version_records import VersionRecords, VersionRecordSettings


@dataclasses.dataclass(frozen=True, slots=True)
class RunContext:
    """The components of a host that running a request needs."""

    targets: TargetPort
    selector: TargetSelector
    loads: LoadTracker
    retries: RetryShares
    crash_causes: CrashCauses
    outbox: Outbox
    origins: StreamOrigins
    usage: UsageCounter
    log: DecisionLog
    telemetry: Telemetry
    clock: Callable[[], float]
    reach: ServiceReach
    peer_client: PeerClient
    shutdown: Shutdown
    quotas: TeamQuotas | None = None


def shared_parts(arrival: IncomingRequest) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may have too."""
    return () if arrival.prompt is None else arrival.prompt.parts[:-1]


def fingerprints_of(
    arrival: IncomingRequest, team: Team | None, service: str
) -> RequestFingerprints:
    """Return the fingerprints of a request and of its shared parts.

    The first covers its team, path and body. A part is identified for its
    service: another model may be sound with it.
    """
    name = team.name if team else ''
    return RequestFingerprints(
        request_fingerprint(f'{name} {arrival.path}', arrival.body),
        tuple(
            request_fingerprint(f'part {service}', part.identity.encode())
            for part in shared_parts(arrival)
        ),
    )


__all__ = [
    'QuotaGrant',
    'QuotaSources',
    'RetryShares',
    'RunContext',
    'Shutdown',
    'StreamOrigin',
    'StreamOriginSettings',
    'StreamOrigins',
    'TeamQuotas',
    'VersionRecordSettings',
    'VersionRecords',
    'fingerprints_of',
    'shared_parts',
]
