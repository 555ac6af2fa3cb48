"""The faults of one or several targets of a service at once."""

import dataclasses
from typing import TypeAlias

FELL_SILENT = 'fell silent'
FULL = 'full'
SLOW_PREFILL = 'slow prefill'


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceTargets:
    """Let a share of a service's targets send nothing, then go on."""

    share: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FillTargets:
    """Let a share of a service's targets reject requests and prefill calls."""

    share: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlowPrefill:
    """Delay the prefill calls at a share of a service's targets."""

    share: float
    for_s: float
    delay_s: float


ServiceFault: TypeAlias = SilenceTargets | FillTargets | SlowPrefill
