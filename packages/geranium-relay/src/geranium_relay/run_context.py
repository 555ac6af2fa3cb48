"""What all requests of a host are run with."""

import dataclasses
from collections.abc import Callable

from geranium_policy.retry_share import RetryShare, RetryShareSettings
from geranium_policy.suspects import SuspectRegister, request_fingerprint

from .catalogue import Team
from .decision_log import DecisionLog
from .load_tracker import LoadTracker
from .messages import IncomingRequest
from .peer_updates import Outbox
from .ports import TargetPort
from .target_selector import TargetSelector
from .telemetry import Telemetry
from .usage import UsageCounter


class RetryShares:
    """The part of the shared retry budget that this host may use."""

    def __init__(
        self,
        settings: RetryShareSettings,
        hosts: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._shares_by_service: dict[str, RetryShare] = {}

    def replace_settings(self, settings: RetryShareSettings) -> None:
        """Put another budget in force; what was sent stays counted."""
        self._settings = settings
        for share in self._shares_by_service.values():
            share.settings = settings

    def record_first(self, service: str, now: float) -> None:
        """Count the first send of a request to a service."""
        self._share(service).record_first(now)

    def take(self, service: str, now: float) -> bool:
        """Take the right to send a request to a service once more."""
        return self._share(service).take(self._hosts(), now)

    def give_back(self, service: str) -> None:
        """Give the last right back: nothing was sent."""
        self._share(service).refund()

    def recent_repeats(self) -> int:
        """Return how many repeats count against the budget now."""
        shares = self._shares_by_service.values()
        return sum(share.recent_repeats for share in shares)

    def _share(self, service: str) -> RetryShare:
        share = self._shares_by_service.get(service)
        if share is None:
            share = RetryShare(self._settings)
            self._shares_by_service[service] = share
        return share


@dataclasses.dataclass(frozen=True, slots=True)
class RunContext:
    """The parts of a host that running a request needs."""

    targets: TargetPort
    selector: TargetSelector
    loads: LoadTracker
    retries: RetryShares
    suspects: SuspectRegister
    outbox: Outbox
    usage: UsageCounter
    log: DecisionLog
    telemetry: Telemetry
    clock: Callable[[], float]


def fingerprint_of(arrival: IncomingRequest, team: Team | None) -> int:
    """Return what requests of the same caller, path and body share."""
    name = team.name if team else ''
    return request_fingerprint(f'{name} {arrival.path}', arrival.body)
