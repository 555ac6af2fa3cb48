"""Refuses requests that a stopping host can't complete."""

import math

from geranium_policy.stop_admission import Completes, CutShort, StopDecision

from .messages import Job
from .outcomes import Refused
from .run_context import RunContext
from .run_settings import RunSettings
from .send_limit import SendLimit

STOPPING = 'host is stopping'


class StopCheck:
    """Checks one request before each step that another host could take.

    Args:
        job: The request.
        context: The components of the host.
        settings: Limits.
        send_limit: Counts its runs.
    """

    def __init__(
        self,
        job: Job,
        context: RunContext,
        settings: RunSettings,
        send_limit: SendLimit,
    ) -> None:
        self._job = job
        self._context = context
        self._settings = settings
        self._send_limit = send_limit
        self._recorded = False

    def refusal(self, started_at: float) -> Refused | None:
        """Return a refusal if the request may outlive this host.

        One that may have run is not refused: it is lost if it does not go on.
        If it has run at the host that passed it on, that one can still try
        others.

        Args:
            started_at: When the attempt begins or has begun.
        """
        if self._send_limit.runs > self._send_limit.runs_before:
            return None
        match self._judge(started_at):
            case CutShort() as cut_short:
                return self._refuse(cut_short)
            case Completes() as completes:
                self._record_accepted(completes)
        return None

    def may_begin(self) -> bool:
        """Return whether an attempt that begins now ends before this host."""
        return isinstance(self._judge(self._context.clock()), Completes)

    def _judge(self, started_at: float) -> StopDecision:
        return self._context.shutdown.judge(
            self._job, started_at, self._settings.deadline_margin_s
        )

    def _record_accepted(self, completes: Completes) -> None:
        """Record, once, that a host that stops accepts the request."""
        if self._recorded or math.isinf(completes.left_s):
            return
        self._recorded = True
        self._context.log.record(
            'accepted_while_stopping', **self._described(completes)
        )

    def _described(self, decision: StopDecision) -> dict[str, object]:
        """Return the fields of a log record of a decision."""
        return {
            'request': self._job.arrival.identity,
            'route': self._job.route.name,
            'needed_s': round(decision.needed_s, 3),
            'left_s': round(decision.left_s, 3),
        }

    def _refuse(self, cut_short: CutShort) -> Refused:
        self._context.log.record(
            'not_completable', **self._described(cut_short)
        )
        retry_after_s = self._settings.stopping_retry_s
        if not self._context.peer_client.has_peers:
            retry_after_s = max(cut_short.left_s, self._settings.retry_after_s)
        # The caller is lost with its host, wherever the request runs.
        elsewhere = self._job.forwarded
        return Refused(STOPPING, retry_after_s, elsewhere=elsewhere)
