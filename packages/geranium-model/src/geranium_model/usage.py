"""Usage that is reported to the platform once per window."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Usage of a team: prompt tokens, generated tokens and requests."""

    prompt_tokens: int = 0
    generated_tokens: int = 0
    requests: int = 0

    def __add__(self, other: 'Usage') -> 'Usage':
        """Return the sum of two usages."""
        return Usage(
            self.prompt_tokens + other.prompt_tokens,
            self.generated_tokens + other.generated_tokens,
            self.requests + other.requests,
        )
