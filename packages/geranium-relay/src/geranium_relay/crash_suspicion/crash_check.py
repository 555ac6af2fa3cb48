"""Rejects requests that crash targets, or sends one of them as a trial."""

from geranium_policy.cause_trials import Trial

from ..messages import Job
from ..outcomes import Refused
from ..run_context import RunContext
from ..run_settings import RunSettings
from ..send_limit import SendLimit
from .suspicion import part_names


class CrashCheck:
    """Checks one request by the known causes of crashes.

    Args:
        job: The request.
        context: The components of the host.
        settings: Limits.
        send_limit: Counts its runs.

    ``trial`` is set while the request may be sent as a trial only.
    """

    def __init__(
        self,
        job: Job,
        context: RunContext,
        settings: RunSettings,
        send_limit: SendLimit,
    ) -> None:
        self.trial: Trial | None = None
        self._job = job
        self._context = context
        self._settings = settings
        self._send_limit = send_limit
        self._runs_at_trial: int | None = None

    def refusal(self) -> Refused | None:
        """Return a refusal if earlier crashes show that the job crashes targets.

        A request that has begun a trial may be sent until it has run.
        """
        now = self._context.clock()
        causes = self._context.crash_causes
        fingerprints = self._job.fingerprints
        if not causes.rejects(fingerprints, now):
            self.trial = None
            return None
        if self._runs_at_trial == self._send_limit.runs:
            return None
        self.trial = causes.next_trial(fingerprints, now)
        return None if self._has_turn() else self._refuse(now)

    def begin_trial(self) -> None:
        """Tell all hosts that the request is sent as a trial, if it is one."""
        trial = self.trial
        if trial is None or self._runs_at_trial is not None:
            return
        now = self._context.clock()
        self._runs_at_trial = self._send_limit.runs
        identity = self._job.arrival.identity
        name = ' '.join((self._context.peer_client.own_name, identity))
        notices = self._context.crash_causes.trials.begin(trial, name, now)
        self._context.outbox.record_crashes(notices, now)
        self._context.log.record(
            'cause_tried',
            request=identity,
            fingerprint=self._job.fingerprints.request,
            parts=part_names(self._job),
            turn=trial.turn,
        )

    def _has_turn(self) -> bool:
        if self.trial is None or not self.trial.is_open:
            return False
        return self._host(self.trial) == self._context.peer_client.own_name

    def _host(self, trial: Trial) -> str | None:
        service = self._job.service
        hosts = set(self._context.peer_client.hosts_reaching(service))
        if not self._context.reach.is_cut(service):
            hosts.add(self._context.peer_client.own_name)
        return trial.host(hosts)

    def _refuse(self, now: float) -> Refused:
        self._context.log.record(
            'crash_cause_found',
            request=self._job.arrival.identity,
            fingerprint=self._job.fingerprints.request,
            parts=part_names(self._job),
        )
        trial = self.trial
        self.trial = None
        retry_after_s = self._settings.crash_retry_s
        if trial is None:
            return Refused('crashed targets', retry_after_s)
        trials = self._context.crash_causes.trials
        retry_after_s = min(
            retry_after_s, max(trial.due_at - now, trials.settings.turn_s)
        )
        host = self._host(trial) if trial.is_open else None
        if host is None or not trials.may_pass_on(trial, now):
            return Refused('crashed targets', retry_after_s)
        return Refused(
            'crashed targets',
            retry_after_s,
            elsewhere=True,
            hosts=frozenset((host,)),
        )
