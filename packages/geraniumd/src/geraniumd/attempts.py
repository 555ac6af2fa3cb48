"""The attempts at one request: what was tried, and what may be said of it."""

import dataclasses
from http import HTTPStatus

from geranium_model import NotRun, Outcome, OutcomeUnknown

from .exceptions import TargetError
from .fleet import TargetLink
from .logs import get_logger
from .records import RequestRecord
from .telemetry import Telemetry

RETRY_AFTER_S = 1


@dataclasses.dataclass(slots=True)
class Attempts:
    """All attempts at one request.

    ``was_sent`` tells that a target may have run it: from then on no
    refusal may say that it did not run.
    """

    record: RequestRecord
    excluded: set[str] = dataclasses.field(default_factory=set)
    was_sent: bool = False
    detail: str = ''

    def give_up(self, title: str) -> Outcome:
        """Return the outcome of a request that no target answered."""
        if self.was_sent:
            return OutcomeUnknown(title, self.detail)
        return NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            title,
            self.detail,
            retry_after_s=RETRY_AFTER_S,
        )


class AttemptRecorder:
    """Writes each attempt's result to the record, the log and metrics."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._log = get_logger()

    def note_success(self, link: TargetLink) -> None:
        """Take down an attempt that brought the whole answer."""
        self._count(link, 'completed')

    def note_failure(
        self,
        attempts: Attempts,
        link: TargetLink,
        result: str,
        error: TargetError,
    ) -> None:
        """Take down a failed attempt; its target isn't tried again."""
        name = link.target.name
        link.last_error = str(error)
        attempts.excluded.add(name)
        attempts.detail = f'{name}: {error}'
        attempts.record.note(f'{result} by {name}: {error}')
        self._count(link, result)
        self._log.warning(
            'target_attempt_failed',
            request_id=attempts.record.request_id,
            execution_id=attempts.record.execution_id,
            team=attempts.record.team,
            target=name,
            result=result,
            error=str(error),
        )

    def _count(self, link: TargetLink, result: str) -> None:
        labels = {'target': link.target.name, 'result': result}
        self._telemetry.attempts.add(1, labels)
