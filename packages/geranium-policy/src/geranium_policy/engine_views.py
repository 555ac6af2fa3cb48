"""Engine views: what one daemon knows of an engine between its reports."""

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
    """An engine's step times and memory, as the estimates take them.

    A step generates one token for each running sequence and reads up to
    ``prefill_chunk_tokens`` of the waiting prompts.
    """

    prefill_s_per_token: float = 50e-6
    decode_step_s: float = 0.01
    decode_s_per_sequence: float = 300e-6
    prefill_chunk_tokens: int = 512
    tokens_per_piece: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class EngineViewSettings:
    """How an engine is estimated and what is remembered of its cache."""

    speed: EngineSpeed = dataclasses.field(default_factory=EngineSpeed)
    prefixes: PrefixCacheSettings = dataclasses.field(
        default_factory=PrefixCacheSettings,
    )


class EngineView:
    """What one daemon knows of an engine.

    The engine's load report lags, so what this daemon has sent since the
    report's sample is added to it, and what has ended is taken off. Peers'
    counts, where they are shared, are compared with the report, and the
    greater of both is believed.

    ``prefixes`` is what its cache is believed to hold; its cache events are
    applied there. ``peers`` is the sum of what the other daemons have at the
    engine. ``usable`` is false while the engine is set aside by its health.
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
        """What this daemon has in flight at the engine, to tell peers."""
        return self._log.local

    @property
    def role(self) -> Role:
        """The role that the engine reported last, else the configured one."""
        return self.engine.role if self.load is None else self.load.role

    @property
    def accepting(self) -> bool:
        """Whether the engine is usable and takes new work by its report."""
        return self.usable and (self.load is None or self.load.accepting)

    def apply_load(self, load: EngineLoad) -> None:
        """Take in a load report; one older than the last is dropped."""
        if self.load is not None and load.sampled_at < self.load.sampled_at:
            return
        self.load = load
        self._log.restart(load.sampled_at)

    def record_dispatch(
        self,
        profile: RequestProfile,
        now: float,
        *,
        kv_imported: bool = False,
    ) -> None:
        """Count a request that this daemon sends to the engine now.

        ``kv_imported`` says that its prompt was read by another engine, to
        which the same request was sent with no ``expected_tokens``.
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
        """Note that the engine has read the request's prompt."""
        self._log.record_first_token(request_id)

    def record_end(self, request_id: str, now: float) -> None:
        """Note that the request has ended in whatever way."""
        self._log.end(request_id, now)

    def cached_tokens(self, profile: RequestProfile, now: float) -> int:
        """Return how much of the prompt is believed to be cached.

        At least one token is always left to read.
        """
        if not profile.prefix_hashes:
            return 0
        blocks = self.prefixes.matched_blocks(profile.prefix_hashes, now)
        cached_tokens = blocks * PREFIX_BLOCK_TOKENS
        if cached_tokens < profile.prompt_tokens:
            return cached_tokens
        return max(profile.prompt_tokens - 1, 0)

    def pieces_needed(self, profile: RequestProfile) -> int:
        """Return the pieces of KV memory that the request comes to fill."""
        tokens = profile.prompt_tokens + profile.expected_tokens
        return -(-tokens // self.settings.speed.tokens_per_piece)

    def sequences(self) -> int:
        """Return how many sequences run or wait at the engine."""
        counted = self.local.requests + self.peers.requests
        if self.load is None:
            return counted
        since = self._log.since.requests - self._log.ended.requests
        reported = self.load.running + self.load.waiting + since
        return counted if counted > reported else reported

    def prefill_tokens(self, now: float) -> int:
        """Return how many prompt tokens wait to be read at the engine."""
        counted = self.local.prefill_tokens + self.peers.prefill_tokens
        if self.load is None:
            return counted
        speed = self.settings.speed
        age_s = now - self.load.sampled_at
        left = self.load.prefill_tokens_waiting
        left -= int(age_s / speed.prefill_s_per_token)
        reported = self._log.since.prefill_tokens
        if left > 0:
            reported += left
        return counted if counted > reported else reported

    def free_pieces(self) -> int | None:
        """Return the free pieces of KV memory, ``None`` if unreported."""
        if self.load is None:
            return None
        since = self._log.since.kv_pieces - self._log.ended.kv_pieces
        return self.load.kv_pieces - self.load.kv_pieces_used - since
