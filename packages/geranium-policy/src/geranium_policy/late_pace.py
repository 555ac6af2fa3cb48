"""How much late work a host hands to engines.

Answers the first second after an outage, in which all callers come back to
all hosts at once: hosts have not heard of each other yet, so that engines look
idle to each of them and get the late work of all. Each host then hands out
late requests no faster than its part of the fleet reads them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LatePaceSettings:
    """How late work is paced.

    Args:
        share: Part of the fleet's reading that late work may take.
        settle_s: After its start a host hands out none for so long, which
            is the time until it has heard of other hosts.
    """

    share: float = 0.5
    settle_s: float = 0.4


class LatePace:
    """Says when the next late request may go to an engine.

    Args:
        settings: How late work is paced.
        started_at: When the host started.
    """

    def __init__(self, settings: LatePaceSettings, started_at: float) -> None:
        self._settings = settings
        self._next_at = started_at + settings.settle_s

    def is_open(self, now: float) -> bool:
        """Say whether a late request may go now."""
        return now >= self._next_at

    def note(
        self,
        fresh_tokens: int,
        fleet_tokens_per_s: float,
        hosts: int,
        now: float,
    ) -> None:
        """Note a late request that went to an engine.

        Args:
            fresh_tokens: Prompt tokens that have to be read for it.
            fleet_tokens_per_s: What all engines read.
            hosts: Hosts that share the engines.
            now: The present instant in seconds.
        """
        part = self._settings.share * fleet_tokens_per_s / hosts
        self._next_at = max(self._next_at, now) + fresh_tokens / part
