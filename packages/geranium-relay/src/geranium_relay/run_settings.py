"""Limits of one request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """Limits of one request.

    Args:
        most_sends: Targets that a request is offered to, refusals included.
        most_unconnected: Targets that may besides turn out not to accept a
            connection.
        answer_grace_s: A target's own answer at the deadline is waited for
            so long.
        call_patience: Latency objectives after which a call that may be
            repeated is tried elsewhere.
        stream_silence_s: A stream that may be resumed and is silent for so
            long, and for ``silence_gaps`` of its longest pauses, goes on at
            another target.
        silence_gaps: See ``stream_silence_s``.
        first_patience: Expected times to the first token, beyond
            ``stream_silence_s``, after which a stream that may be repeated
            is tried elsewhere.
        read_patience: Expected times, beyond ``stream_silence_s``, after
            which a prompt's reader is given up.
        retry_after_s: Least time after which refused callers may return.
        reserve_s: A request with less time left is not sent.
    """

    most_sends: int = 3
    most_unconnected: int = 3
    answer_grace_s: float = 0.12
    call_patience: float = 2
    stream_silence_s: float = 1
    silence_gaps: float = 4
    first_patience: float = 3
    read_patience: float = 3
    retry_after_s: float = 0.25
    reserve_s: float = 0.02
