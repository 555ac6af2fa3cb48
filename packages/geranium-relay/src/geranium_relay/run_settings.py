"""Limits for running one request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunSettings:
    """Limits for running one request.

    Args:
        max_sends: Targets that a request is sent to, including those that
            refuse it.
        max_unconnected: Further targets that may fail to accept a
            connection.
        deadline_margin_s: Time after the deadline for which the target's own
            response is still awaited.
        call_timeout_factor: Timeout of a repeatable call before another
            target is tried, as a multiple of the latency objective.
        stream_silence_s: A resumable stream continues on another target once
            it has been silent for this time and for ``max_silent_gaps`` times
            its target gap.
        max_silent_gaps: See ``stream_silence_s``.
        first_token_timeout_factor: Timeout of a repeatable stream before
            another target is tried, as a multiple of the expected time to
            first token, on top of ``stream_silence_s``.
        prefill_timeout_factor: Timeout of a prefill as a multiple of its
            expected time, on top of ``stream_silence_s``.
        retry_after_s: Minimum delay before refused callers may retry.
        stopping_retry_s: Delay before callers of a stopping host may retry at
            another one, which can serve them at once.
        crash_retry_s: Delay before a caller may retry a request that would
            crash its target.
        max_body_bytes: Maximum size of a response that is not a stream.
        min_time_left_s: A request with less time to its deadline is not sent.
        max_peers: Other hosts that a request is passed on to, one after the
            other, if this host can't send it.
    """

    max_sends: int = 3
    max_unconnected: int = 3
    deadline_margin_s: float = 0.12
    call_timeout_factor: float = 2
    stream_silence_s: float = 1
    max_silent_gaps: float = 4
    first_token_timeout_factor: float = 3
    prefill_timeout_factor: float = 3
    retry_after_s: float = 0.25
    stopping_retry_s: float = 0.02
    crash_retry_s: float = 30
    max_body_bytes: int = 16777216
    min_time_left_s: float = 0.02
    max_peers: int = 3
