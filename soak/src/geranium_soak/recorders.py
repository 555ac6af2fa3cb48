"""Recording of the stand-ins' observations in the ledger."""

from geranium_platform_standins import DutyCall, ReceivedRequest

from .observations import Ledger, Prefill, ProviderCall, TargetRequest, now

USAGE_PATH = 'usage'


class TargetRecorder:
    """Implements ``RequestObserver`` over a ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._requests: list[TargetRequest] = []

    def record_received(self, taken: ReceivedRequest) -> int:
        """Record the arrival of a request and return its number."""
        sender = self._ledger.sender(taken.sender)
        request = TargetRequest(taken, sender, now())
        self._requests.append(request)
        self._ledger.target_requests_by_id[taken.identity].append(request)
        return len(self._requests) - 1

    def record_prefill(self, number: int, *, accepted: bool) -> None:
        """Record that a request is a prefill call."""
        self._requests[number].prefill = (
            Prefill.ACCEPTED if accepted else Prefill.REFUSED
        )

    def record_pause(self, number: int, pause_s: float) -> None:
        """Record that a request was rejected with a pause."""
        self._requests[number].paused_until = now() + pause_s

    def record_started(self, number: int) -> None:
        """Record the start of a request's execution."""
        self._requests[number].ran_at = now()

    def record_response(self, number: int, signature: str, body: bytes) -> None:
        """Record a response of the target."""
        self._requests[number].responses[signature] = body

    def record_finished(self, number: int) -> None:
        """Record the end of a request's execution."""
        self._requests[number].ended_at = now()

    def record_abandoned(self, number: int) -> None:
        """Record that the connection of a request closed during its run."""
        self._requests[number].abandoned = True

    def record_mismatched_prompt(self, identity: str) -> None:
        """Record that a request continued from another one's prompt."""
        self._ledger.mismatched_prompts.append(identity)


def provider_call(call: DutyCall) -> ProviderCall:
    """Convert a call to the provider to an entry of the ledger."""
    body = call.body
    if call.path == USAGE_PATH:
        return ProviderCall(
            'usage',
            call.holder,
            call.fencing_token,
            body['windowId'],
            dict(body['counts']),
            now(),
        )
    service, zone = body['service'], body['zone']
    return ProviderCall(
        f'{service}/{zone}',
        call.holder,
        call.fencing_token,
        None,
        {},
        now(),
    )
