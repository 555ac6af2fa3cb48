"""What the engines of all services are believed to keep."""

import dataclasses
import math
from collections.abc import Sequence

from .catalogue import EngineProfile
from .messages import PromptPart
from .prompt_beliefs import PromptBeliefs
from .targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class FormerPromptSettings:
    """What a host takes engines to keep from before its start.

    A host that starts knows nothing of what was sent to engines, and after
    the loss of all hosts nobody can tell it. Until it has heard of a shared
    part, it takes the part's home among the engines to keep it.

    Args:
        started_ms: When the host started, in Unix milliseconds; engines that
            started later keep nothing from before.
        until: The instant from which nothing is taken so.
        share: Part of the shared tokens that is counted as kept, since not
            every part was sent before and not every one to its home.
    """

    started_ms: float = 0
    until: float = -math.inf
    share: float = 0.7


class KeptPrompts:
    """Adds up what was sent to engines and what is taken to be there.

    Args:
        former: What engines are taken to keep from before.
    """

    def __init__(self, former: FormerPromptSettings) -> None:
        self._former = former
        self._heard_parts: set[str] = set()
        self._beliefs_by_service: dict[str, PromptBeliefs] = {}

    def prepare(self, service: str, profile: EngineProfile) -> None:
        """Begin to follow a service's engines."""
        if service not in self._beliefs_by_service:
            beliefs = PromptBeliefs(profile.kv_tokens)
            self._beliefs_by_service[service] = beliefs

    def tokens(
        self,
        target: Target,
        parts: Sequence[PromptPart],
        now: float,
        *,
        is_home: bool,
    ) -> int:
        """Return how many tokens of a prompt an engine need not read.

        Args:
            target: The engine, of a service that is followed.
            parts: All parts of the prompt; the last is the request's own.
            now: The present instant in seconds.
            is_home: Whether hosts agree on the engine for the shared parts.
        """
        beliefs = self._beliefs_by_service[target.service]
        kept = beliefs.cached_tokens(target.key, parts)
        if not is_home or kept or now >= self._former.until:
            return kept
        return self._former_tokens(target, parts)

    def note(
        self,
        service: str,
        target: str,
        parts: Sequence[PromptPart],
        now: float,
    ) -> None:
        """Believe that an engine keeps parts of a prompt from now on."""
        beliefs = self._beliefs_by_service.get(service)
        if beliefs is not None:
            beliefs.note(target, parts)
        if now < self._former.until:
            self._heard_parts.update(part.identity for part in parts)

    def forget(self, target: str) -> None:
        """Drop what is known of an engine that is gone."""
        for beliefs in self._beliefs_by_service.values():
            beliefs.forget(target)

    def _former_tokens(
        self,
        home: Target,
        parts: Sequence[PromptPart],
    ) -> int:
        """Return the tokens that a prompt's home is taken to keep."""
        shared = parts[:-1]
        if not shared or home.born_ms > self._former.started_ms:
            return 0
        if shared[-1].identity in self._heard_parts:
            return 0
        return int(self._former.share * sum(part.tokens for part in shared))
