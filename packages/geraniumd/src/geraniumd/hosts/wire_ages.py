"""Ages on the wire: whole milliseconds, rounded up."""

import math

MS_PER_S = 1000
_NO_AGE = -1


def age_on_wire(age_s: float | None) -> int:
    """Return an age for the wire, where it is never younger than it was."""
    return _NO_AGE if age_s is None else math.ceil(age_s * MS_PER_S)


def age_from_wire(age_ms: int) -> float | None:
    """Return an age in seconds from the wire."""
    return None if age_ms == _NO_AGE else age_ms / MS_PER_S
