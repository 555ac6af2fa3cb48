"""Note in the ledger what stand-ins see."""

from geranium_platform_standins import DutyCall, ReceivedRequest

from .observations import Ledger, ProviderCall, TargetRequest, now

USAGE_PATH = 'usage'


class TargetRecorder:
    """Implements ``RequestObserver`` over a ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._requests: list[TargetRequest] = []

    def record_received(self, taken: ReceivedRequest) -> int:
        """Note that a request has come."""
        request = TargetRequest(taken, now())
        self._requests.append(request)
        self._ledger.target_requests_by_id[taken.identity].append(request)
        return len(self._requests) - 1

    def record_started(self, number: int) -> None:
        """Note that the target works on it."""
        self._requests[number].ran_at = now()

    def record_response(self, number: int, signature: str, body: bytes) -> None:
        """Note what the target answers."""
        self._requests[number].answers[signature] = body

    def record_finished(self, number: int) -> None:
        """Note that the target works on it no longer."""
        self._requests[number].ended_at = now()

    def record_mismatched_prompt(self, identity: str) -> None:
        """Note that a request went on from another's prompt."""
        self._ledger.crossed_prompts.append(identity)


def provider_call(call: DutyCall) -> ProviderCall:
    """Return a call to the provider as the ledger holds it."""
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
