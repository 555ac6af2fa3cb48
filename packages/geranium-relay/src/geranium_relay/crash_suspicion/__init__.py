"""What this host believes of requests under which targets end.

A run whose connection breaks is kept until it is known whether its target has
crashed: by the answers of other hosts at once, or later by the list of targets.
Requests that have crashed targets are rejected, or tried one at a time.
"""

from .crash_check import CrashCheck
from .crash_store import CrashClocks, CrashStore, CrashStoreSettings
from .list_proofs import record_ended_targets
from .suspicion import (
    BreakCause,
    clear_request,
    record_life,
    suspect_request,
)

__all__ = [
    'BreakCause',
    'CrashCheck',
    'CrashClocks',
    'CrashStore',
    'CrashStoreSettings',
    'clear_request',
    'record_ended_targets',
    'record_life',
    'suspect_request',
]
