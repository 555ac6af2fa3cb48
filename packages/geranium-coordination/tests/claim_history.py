"""Checks what callers and targets saw of calls that may run once."""

import dataclasses
from collections import Counter
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True)
class Executed:
    """A target ran an attempt at a call."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class AnsweredNotRun:
    """A caller was told that an attempt was not run."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class Replayed:
    """A resend got the outcome that was kept of an attempt."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class Stuck:
    """A resend is told to wait although nothing runs any more."""

    call: str


def complaints(history) -> Iterator[str]:
    executed = [event for event in history if isinstance(event, Executed)]
    times = Counter(event.call for event in executed)
    for call, count in times.items():
        if count > 1:
            yield f'{call} ran {count} times'
    attempts = {event.attempt for event in executed}
    for event in history:
        match event:
            case AnsweredNotRun() if event.attempt in attempts:
                yield f'{event.attempt} ran although told otherwise'
            case Replayed() if event.attempt not in attempts:
                yield f'{event.call} was answered as {event.attempt}'
            case Stuck():
                yield f'{event.call} is stuck'
