"""Checks histories of calls that must run at most once."""

import dataclasses
from collections import Counter
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True)
class Executed:
    """A target executed an attempt at a call."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class AnsweredNotRun:
    """A caller got the response that an attempt was not executed."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class Replayed:
    """A resend got the stored outcome of an attempt."""

    call: str
    attempt: str


@dataclasses.dataclass(frozen=True)
class Stuck:
    """A resend is rejected as in progress although nothing is running."""

    call: str


def violations(history) -> Iterator[str]:
    executed = [event for event in history if isinstance(event, Executed)]
    times = Counter(event.call for event in executed)
    for call, count in times.items():
        if count > 1:
            yield f'{call} ran {count} times'
    attempts = {event.attempt for event in executed}
    for event in history:
        match event:
            case AnsweredNotRun() if event.attempt in attempts:
                yield f'{event.attempt} ran although reported as not run'
            case Replayed() if event.attempt not in attempts:
                yield f'{event.call} replayed the unexecuted {event.attempt}'
            case Stuck():
                yield f'{event.call} is stuck'
