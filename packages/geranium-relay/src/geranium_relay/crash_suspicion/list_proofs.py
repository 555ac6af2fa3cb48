"""Proves crashes by the list of targets."""

from collections.abc import Iterator

from geranium_policy.crash_causes import CrashCauses

from ..decision_log import DecisionLog
from ..peer_updates import Outbox
from ..target_notices import TargetNotices
from ..targets import FleetChange


def record_ended_targets(
    change: FleetChange,
    causes: CrashCauses,
    notices: TargetNotices,
    outbox: Outbox,
    log: DecisionLog,
    now: float,
) -> None:
    """Record as crashes the ends of targets on which runs have just broken.

    A target that had announced its departure has not crashed.

    Args:
        change: What is new in the list of targets.
        causes: The broken runs and the crashes known to this host.
        notices: The departures known to this host.
        outbox: Takes the crashes for other hosts.
        log: Receives a record of each crash.
        now: The current time.
    """
    for key in _ended_keys(change, causes.unproven.crash_ids(now)):
        if notices.is_leaving(key):
            continue
        crashes = causes.unproven.prove(key, now)
        outbox.record_crashes(crashes, now)
        log.record('crash_listed', target=key, fingerprints=len(crashes))


def _ended_keys(change: FleetChange, keys: frozenset[str]) -> Iterator[str]:
    """Yield those of the keys whose targets are gone or have started again.

    A restored store may list an earlier start of a target, which ends nothing.
    """
    gone = {target.key for target in change.gone}
    born_ms_by_identity = {
        target.identity: target.born_ms for target in change.came
    }
    for key in keys:
        identity, _, born_ms = key.rpartition('@')
        latest_ms = born_ms_by_identity.get(identity, 0)
        if key in gone or latest_ms > int(born_ms):
            yield key
