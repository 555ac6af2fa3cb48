"""Request properties that decisions depend on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request that are known before it runs.

    Args:
        request_id: Unique id of the request.
        team: The team that owns the request's API key.
        service: The requested service.
        priority: 0 to 9, where 0 is served first.
        prompt_tokens: Estimated length of the prompt.
        expected_tokens: Estimated number of tokens to generate.
        prefix_hashes: As returned by :func:`prefix_hashes`.
        deadline: Instant until which the caller waits for the complete
            response, in seconds on the monotonic clock.
    """

    request_id: str
    team: str
    service: str
    priority: int
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[int, ...]
    deadline: float
