"""Records requests that are suspected of crashing a target."""

from .messages import Job
from .run_context import RunContext, fingerprint_of, shared_parts
from .targets import Target


async def suspect_request(
    context: RunContext, job: Job, target: Target
) -> None:
    """Record a job as a suspect if the target is no longer reachable.

    If the target still accepts connections, only the response was lost.
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
        parts=[part.identity for part in shared_parts(job.arrival)],
    )
