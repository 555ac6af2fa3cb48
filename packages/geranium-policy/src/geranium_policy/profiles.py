"""Request profiles: what a decision knows of a request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """What is known of a request before it runs.

    Args:
        request_id: Unique id of the request.
        team: The team whose key it carried.
        service: The service that it names.
        priority: 0 to 9, 0 being served first.
        prompt_tokens: Estimated length of the prompt.
        expected_tokens: Estimated number of tokens to generate.
        prefix_hashes: As returned by :func:`prefix_hashes`.
        deadline: Instant until which the caller waits for the whole answer,
            in seconds on the monotonic clock.
    """

    request_id: str
    team: str
    service: str
    priority: int
    prompt_tokens: int
    expected_tokens: int
    prefix_hashes: tuple[int, ...]
    deadline: float
