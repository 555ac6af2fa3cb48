"""Records requests under which targets crashed, and rejects their like."""

from .messages import Job
from .outcomes import Refused
from .run_context import RunContext, shared_parts
from .run_settings import RunSettings
from .targets import Target


def crash_refusal(
    context: RunContext, job: Job, settings: RunSettings
) -> Refused | None:
    """Return a refusal if earlier crashes show that a job crashes targets."""
    if not context.crash_causes.rejects(job.fingerprints, context.clock()):
        return None
    context.log.record(
        'crash_cause_found',
        request=job.arrival.identity,
        fingerprint=job.fingerprints.request,
        parts=_part_names(job),
    )
    return Refused('crashed targets', settings.crash_retry_s)


async def suspect_request(
    context: RunContext, job: Job, target: Target
) -> None:
    """Record a job as a suspect if the target is no longer reachable.

    If the target still accepts connections, only the response was lost.
    """
    if await context.targets.is_reachable(target):
        return
    now = context.clock()
    notices = context.crash_causes.record_crash(
        job.fingerprints, target.key, now
    )
    context.outbox.record_crashes(notices, now)
    context.log.record(
        'request_suspected',
        request=job.arrival.identity,
        target=target.key,
        fingerprint=job.fingerprints.request,
        parts=_part_names(job),
    )


def clear_request(context: RunContext, job: Job) -> None:
    """Record that a job was completed, so that it crashes no target."""
    now = context.clock()
    notices = context.crash_causes.record_completion(job.fingerprints, now)
    context.outbox.record_crashes(notices, now)


def _part_names(job: Job) -> list[str]:
    return [part.identity for part in shared_parts(job.arrival)]
