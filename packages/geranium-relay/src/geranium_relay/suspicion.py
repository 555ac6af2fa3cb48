"""Suspects requests with which a target went down."""

from .messages import Job
from .run_context import RunContext, fingerprint_of
from .targets import Target


async def suspect(context: RunContext, job: Job, target: Target) -> None:
    """Suspect a job if the target that broke its answer off is gone.

    A target that still listens has only lost an answer.
    """
    if await context.targets.is_reachable(target):
        return
    now = context.clock()
    fingerprint = fingerprint_of(job.arrival, job.team)
    notices = context.suspects.record_crash((fingerprint,), target.key, now)
    context.outbox.record_crashes(notices, now)
    context.log.record(
        'request_suspected',
        request=job.arrival.identity,
        target=target.key,
        fingerprint=fingerprint,
    )
