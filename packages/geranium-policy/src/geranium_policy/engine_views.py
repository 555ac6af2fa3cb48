"""A daemon's estimate of an engine's state between the engine's reports."""

import dataclasses

from geranium_model import Engine, EngineLoad, Role

from .dispatches import Dispatch, DispatchLog, InFlight
from .prefixes import (
    PREFIX_BLOCK_TOKENS,
    CachedPrefixes,
    PrefixCacheSettings,
)
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """An engine's step times and memory layout, as used by the estimates.

    A step generates one token for each running sequence and prefills up to
    ``prefill_chunk_tokens`` tokens of the waiting prompts.
    """

    prefill_s_per_token: float = 50e-6
    decode_step_s: float = 0.01
    decode_s_per_sequence: float = 300e-6
    prefill_chunk_tokens: int = 512
    tokens_per_piece: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class EngineViewSettings:
    """Settings of the speed estimate and of the prefix cache index."""

    speed: EngineSpeed = dataclasses.field(default_factory=EngineSpeed)
    prefixes: PrefixCacheSettings = dataclasses.field(
        default_factory=PrefixCacheSettings,
    )


class EngineView:
    """A daemon's estimate of an engine's state.

    The engine's load report lags, so requests that this daemon has sent since
    the report was sampled are added and requests that have ended are
    subtracted. If peers share their counts, the sum of all daemons' counts is
    compared with the report and the greater is used.

    ``prefixes`` is the index of the engine's prefix cache; the engine's cache
    events are applied to it. ``peers`` is the sum of the other daemons'
    requests in flight at the engine. ``usable`` is false while the engine is
    ejected by its health tracker.
    """

    def __init__(
        self,
        engine: Engine,
        settings: EngineViewSettings | None = None,
    ) -> None:
        self.engine = engine
        self.settings = settings or EngineViewSettings()
        self.load: EngineLoad | None = None
        self.peers = InFlight()
        self.usable = True
        self.prefixes = CachedPrefixes(self.settings.prefixes)
        self._log = DispatchLog()

    @property
    def local(self) -> InFlight:
        """This daemon's requests in flight at the engine."""
        return self._log.local

    @property
    def role(self) -> Role:
        """The role in the engine's last report, else the configured role."""
        return self.engine.role if self.load is None else self.load.role

    @property
    def accepting(self) -> bool:
        """Whether the engine is usable and its last report accepts work."""
        return self.usable and (self.load is None or self.load.accepting)

    def apply_load(self, load: EngineLoad) -> None:
        """Apply a load report unless it is older than the last one."""
        if self.load is not None and load.sampled_at < self.load.sampled_at:
            return
        self.load = load
        self._log.rebase(load.sampled_at)

    def record_dispatch(
        self,
        profile: RequestProfile,
        now: float,
        *,
        kv_imported: bool = False,
    ) -> None:
        """Record a request that this daemon sends to the engine now.

        ``kv_imported`` means that another engine prefills the prompt. The
        dispatch to that engine is recorded separately, with
        ``expected_tokens`` of 0.
        """
        uncached_tokens = 0
        if not kv_imported:
            uncached_tokens = profile.prompt_tokens - self.cached_tokens(
                profile,
                now,
            )
        dispatch = Dispatch(
            sent_at=now,
            prefill_tokens=uncached_tokens,
            kv_pieces=self.pieces_needed(profile),
        )
        self._log.add(profile.request_id, dispatch)
        self.prefixes.remember(profile.prefix_hashes, now)

    def record_first_token(self, request_id: str) -> None:
        """Record that the engine has finished the request's prefill."""
        self._log.record_first_token(request_id)

    def record_end(self, request_id: str, now: float) -> None:
        """Record that the request has ended, successfully or not."""
        self._log.end(request_id, now)

    def cached_tokens(self, profile: RequestProfile, now: float) -> int:
        """Estimate how many prompt tokens the engine has cached.

        At least one token always remains to be prefilled.
        """
        if not profile.prefix_hashes:
            return 0
        blocks = self.prefixes.matched_blocks(profile.prefix_hashes, now)
        cached_tokens = blocks * PREFIX_BLOCK_TOKENS
        if cached_tokens < profile.prompt_tokens:
            return cached_tokens
        return max(profile.prompt_tokens - 1, 0)

    def pieces_needed(self, profile: RequestProfile) -> int:
        """Return the KV memory, in pieces, that the request will occupy."""
        tokens = profile.prompt_tokens + profile.expected_tokens
        return -(-tokens // self.settings.speed.tokens_per_piece)

    def sequences(self) -> int:
        """Estimate how many sequences run or wait at the engine."""
        counted = self.local.requests + self.peers.requests
        if self.load is None:
            return counted
        net = self._log.unreported.requests - self._log.ended.requests
        reported = self.load.running + self.load.waiting + net
        return counted if counted > reported else reported

    def prefill_tokens(self, now: float) -> int:
        """Estimate how many prompt tokens wait for prefill at the engine."""
        counted = self.local.prefill_tokens + self.peers.prefill_tokens
        if self.load is None:
            return counted
        speed = self.settings.speed
        age_s = now - self.load.sampled_at
        left = self.load.prefill_tokens_waiting
        left -= int(age_s / speed.prefill_s_per_token)
        reported = self._log.unreported.prefill_tokens
        if left > 0:
            reported += left
        return counted if counted > reported else reported

    def free_pieces(self) -> int | None:
        """Estimate the free pieces of KV memory; ``None`` without a report."""
        if self.load is None:
            return None
        net = self._log.unreported.kv_pieces - self._log.ended.kv_pieces
        return self.load.kv_pieces - self.load.kv_pieces_used - net
