"""What all requests of a host are run with."""

import dataclasses
from collections.abc import Callable

from geranium_policy.retry_share import RetryShare, RetryShareSettings
from geranium_policy.suspects import SuspectRegister, request_fingerprint

from .decision_log import DecisionLog
from .load_book import LoadBook
from .catalogue import Team
from .messages import Arrival, TargetPort
from .peer_news import Outbox
from .placing import Placing
from .usage import UsageCounter


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """Limits of one request.

    Args:
        most_sends: Targets that a request is offered to, refusals included.
        answer_grace_s: A target's own answer at the deadline is waited for
            so long.
        call_patience: Latency objectives after which a call that may be
            repeated is tried elsewhere.
        stream_silence_s: A stream that may be resumed and is silent for so
            long, and for ``silence_gaps`` of its longest pauses, goes on at
            another target.
        silence_gaps: See ``stream_silence_s``.
        first_patience: Expected times to the first token, beyond
            ``stream_silence_s``, after which a stream that may be repeated
            is tried elsewhere.
        read_patience: Expected times, beyond ``stream_silence_s``, after
            which a prompt's reader is given up.
        retry_after_s: Least time after which refused callers may return.
        reserve_s: A request with less time left is not sent.
    """

    most_sends: int = 3
    answer_grace_s: float = 0.12
    call_patience: float = 2
    stream_silence_s: float = 1
    silence_gaps: float = 4
    first_patience: float = 3
    read_patience: float = 3
    retry_after_s: float = 0.25
    reserve_s: float = 0.02


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

    def record_first(self, service: str, now: float) -> None:
        """Count the first send of a request to a service."""
        self._share(service).record_first(now)

    def take(self, service: str, now: float) -> bool:
        """Take the right to send a request to a service once more."""
        return self._share(service).take(self._hosts(), now)

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
    placing: Placing
    loads: LoadBook
    retries: RetryShares
    suspects: SuspectRegister
    outbox: Outbox
    usage: UsageCounter
    log: DecisionLog
    clock: Callable[[], float]


def fingerprint_of(arrival: Arrival, team: Team | None) -> int:
    """Return what requests of the same caller, path and body share."""
    name = team.name if team else ''
    return request_fingerprint(f'{name} {arrival.path}', arrival.body)
