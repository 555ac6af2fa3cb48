"""Limits of teams, and the settings of all of them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What all hosts together may have run for a team.

    Args:
        rate_per_s: Tokens or requests a second.
        burst: Tokens or requests at once.
        in_tokens: Whether both count tokens; otherwise requests.
        plain_tokens: Tokens that a request without a size counts as.
    """

    rate_per_s: float
    burst: float
    in_tokens: bool = False
    plain_tokens: int = 0

    def cost_of(self, tokens: int | None) -> int:
        """Return what a request with a number of tokens counts as."""
        if not self.in_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Times of the exchange between hosts and their broker.

    Args:
        window_s: Length of the windows in which a limit is judged.
        overage: Share by which a limit may be exceeded in a window.
        delegation_s: Time from the sending of a delegation to its end.
        max_grant_s: Longest time from an ask to the end of its grant.
        reserve_s: Time of a team's recent use that a host asks for in advance.
        reserve_fill: Share of the burst that no reserves are granted from.
        silence_s: Time for which a broker that didn't answer isn't chosen.
        heard_s: Time without a sign of the broker after which a host that
            has renewed its delegation takes it for silent.
        introduction_s: Time after a limit was added in which the team isn't
            limited. The hosts and their broker don't learn of it at once.
        max_retry_s: Longest time after which callers are told to return.
        max_debt: Tokens by which a request may exceed what a broker has left.
            The limit's slack must cover one debt for each side of a partition.
    """

    window_s: float = 8
    overage: float = 0.1
    delegation_s: float = 1
    max_grant_s: float = 1
    reserve_s: float = 0.3
    reserve_fill: float = 0.25
    silence_s: float = 3
    heard_s: float = 1
    introduction_s: float = 2
    max_retry_s: float = 2
    max_debt: float = 0

    @property
    def grant_s(self) -> float:
        """Time from an ask to the end of its grant.

        Tokens that accrued before a window may be spent in it for as long as
        their grant lasts. This adds at most the rate of that time to what the
        window allows, so the overage covers it.
        """
        return min(self.overage * self.window_s, self.max_grant_s)
