"""Records requests under which targets crashed."""

import enum

from geranium_policy.crash_evidence import CrashEvidence, TargetReach

from ..messages import Job
from ..run_context import RunContext, shared_parts
from ..targets import Target


class BreakCause(enum.Enum):
    """Why a connection to a target broke.

    ``CONNECTION`` means that the target still accepts connections, ``CRASH``
    that it has crashed.
    """

    CONNECTION = 'connection'
    CRASH = 'crash'
    UNKNOWN = 'unknown'


async def suspect_request(
    context: RunContext, job: Job, target: Target
) -> BreakCause:
    """Record a job as a suspect if its target has crashed.

    If the target still accepts connections, only the response was lost. If
    other hosts reach it, this host has lost its link. If nobody can tell, the
    list of targets may show it later.

    Returns:
        Why the connection broke.
    """
    causes = context.crash_causes
    # The caller may leave during the checks, which ends this task.
    fingerprints = job.fingerprints
    causes.unproven.add(
        fingerprints.request,
        fingerprints.parts,
        target.key,
        context.clock(),
    )
    own = await context.reach.judge(target)
    if own is TargetReach.REACHED:
        causes.unproven.drop(fingerprints.request, target.key)
        return BreakCause.CONNECTION
    evidence = CrashEvidence(
        is_listed=context.selector.target(target.key) is not None,
        own=own,
        peers=await context.peer_client.ask(target),
        has_peers=context.peer_client.has_peers,
    )
    if not evidence.is_crash:
        if TargetReach.REACHED in evidence.peers:
            causes.unproven.drop(fingerprints.request, target.key)
        context.log.record(
            'crash_not_shown',
            request=job.arrival.identity,
            target=target.key,
            own=own.value,
            peers=[answer.value for answer in evidence.peers],
        )
        return BreakCause.UNKNOWN
    now = context.clock()
    notices = causes.record_crash(fingerprints, target.key, now)
    context.outbox.record_crashes(notices, now)
    context.log.record(
        'request_suspected',
        request=job.arrival.identity,
        target=target.key,
        fingerprint=fingerprints.request,
        parts=part_names(job),
        listed=evidence.is_listed,
        own=own.value,
        peers=[answer.value for answer in evidence.peers],
    )
    return BreakCause.CRASH


def clear_request(context: RunContext, job: Job) -> None:
    """Record that a job was completed, so that it crashes no target."""
    now = context.clock()
    notices = context.crash_causes.record_completion(job.fingerprints, now)
    context.outbox.record_crashes(notices, now)


def record_life(
    context: RunContext, job: Job, target: Target, sent_at: float
) -> None:
    """Record that a target responds to a job, so that it has not crashed.

    The list must hold this start of the target: another one may have the same
    address.
    """
    now = context.clock()
    served_at = min(sent_at, context.reach.listed_at(target))
    notices = context.crash_causes.record_response(target.key, served_at, now)
    if not notices:
        return
    context.outbox.record_crashes(notices, now)
    context.log.record(
        'crash_withdrawn',
        request=job.arrival.identity,
        target=target.key,
        fingerprints=len(notices),
    )


def part_names(job: Job) -> list[str]:
    """Return the names of the parts that other requests may have too."""
    return [part.identity for part in shared_parts(job.arrival)]
