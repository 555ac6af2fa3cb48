"""Wire encoding of ages: whole milliseconds, rounded up."""

import math

MS_PER_S = 1000
_NO_AGE = -1


def encode_age(age_s: float | None) -> int:
    """Encode an age in seconds; rounding never makes it younger."""
    return _NO_AGE if age_s is None else math.ceil(age_s * MS_PER_S)


def decode_age(age_ms: int) -> float | None:
    """Decode an age in seconds; ``None`` if there is none."""
    return None if age_ms == _NO_AGE else age_ms / MS_PER_S
