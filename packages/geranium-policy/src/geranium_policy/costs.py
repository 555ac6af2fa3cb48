"""Costs: estimated times of a request at an engine."""

import dataclasses

from .engine_views import EngineSpeed, EngineView
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class CostSettings:
    """How estimated times are weighed against each other.

    Args:
        first_token_objective_s: Time to the first token that is promised.
        between_tokens_objective_s: Time between tokens that is promised.
        miss_weight: Cost, in seconds, of missing an objective by its own
            length; a request that is late does not count as served.
        batch_weight: Weight of the seconds by which the request slows the
            sequences that it joins and is slowed by them.
        full_memory_s: Cost of waiting for KV memory if none of what the
            request needs is free.
        kv_transfer_s_per_token: Time to move a prompt token's KV cache
            from one engine to another.
    """

    first_token_objective_s: float = 0.56
    between_tokens_objective_s: float = 0.043
    miss_weight: float = 1.0
    batch_weight: float = 0.1
    full_memory_s: float = 2.0
    kv_transfer_s_per_token: float = 4e-6


@dataclasses.dataclass(slots=True)
class CostEstimate:
    """What a request is expected to meet at an engine.

    Times are in seconds. ``cost_s`` is what choices are made by, the others
    are its parts.
    """

    engine: str
    cached_tokens: int
    queue_s: float
    prefill_s: float
    between_tokens_s: float
    batch_s: float
    memory_s: float
    cost_s: float

    @property
    def first_token_s(self) -> float:
        """Estimated time to the first token."""
        return self.queue_s + self.prefill_s + self.memory_s


class CostModel:
    """Estimates requests at engines from their views."""

    def __init__(self, settings: CostSettings) -> None:
        self._settings = settings

    def estimate(
        self,
        profile: RequestProfile,
        view: EngineView,
        now: float,
    ) -> CostEstimate:
        """Estimate the whole request at the engine."""
        speed = view.settings.speed
        cached_tokens = view.cached_tokens(profile, now)
        waiting_tokens = view.prefill_tokens(now)
        sequences = view.sequences()
        per_token_s = _prefill_s_per_token(speed, sequences)
        uncached_tokens = profile.prompt_tokens - cached_tokens
        estimate = CostEstimate(
            engine=view.engine.name,
            cached_tokens=cached_tokens,
            queue_s=waiting_tokens * per_token_s,
            prefill_s=uncached_tokens * per_token_s,
            between_tokens_s=_between_tokens_s(
                speed,
                sequences,
                waiting_tokens + uncached_tokens,
            ),
            batch_s=profile.expected_tokens
            * sequences
            * speed.decode_s_per_sequence,
            memory_s=self._memory_s(profile, view),
            cost_s=0,
        )
        estimate.cost_s = self._weigh(estimate)
        return estimate

    def estimate_prefill(
        self,
        profile: RequestProfile,
        view: EngineView,
        now: float,
    ) -> CostEstimate:
        """Estimate only the reading of the prompt at the engine."""
        estimate = self.estimate(profile, view, now)
        estimate.cost_s = estimate.first_token_s
        return estimate

    def move_prefill(
        self,
        estimate: CostEstimate,
        view: EngineView,
        moved_tokens: int,
        prefill: CostEstimate,
    ) -> CostEstimate:
        """Return an estimate of the request with its prompt read elsewhere.

        Args:
            estimate: Of the generating engine.
            view: The generating engine.
            moved_tokens: Prompt tokens whose KV cache is moved to it.
            prefill: Of the engine that reads the prompt.
        """
        transfer_s = moved_tokens * self._settings.kv_transfer_s_per_token
        moved = CostEstimate(
            engine=estimate.engine,
            cached_tokens=estimate.cached_tokens,
            queue_s=prefill.queue_s,
            prefill_s=prefill.prefill_s + transfer_s,
            between_tokens_s=_between_tokens_s(
                view.settings.speed,
                view.sequences(),
                0,
            ),
            batch_s=estimate.batch_s,
            memory_s=estimate.memory_s,
            cost_s=0,
        )
        moved.cost_s = self._weigh(moved)
        return moved

    def _weigh(self, estimate: CostEstimate) -> float:
        settings = self._settings
        first_s = estimate.first_token_s
        cost_s = first_s + settings.batch_weight * estimate.batch_s
        late = first_s / settings.first_token_objective_s - 1
        if late > 0:
            cost_s += settings.miss_weight * late
        between_s = estimate.between_tokens_s
        slow = between_s / settings.between_tokens_objective_s - 1
        if slow > 0:
            cost_s += settings.miss_weight * slow
        return cost_s

    def _memory_s(self, profile: RequestProfile, view: EngineView) -> float:
        free = view.free_pieces()
        if free is None:
            return 0
        needed = view.pieces_needed(profile)
        if needed <= free:
            return 0
        missing = needed - free if free > 0 else needed
        return self._settings.full_memory_s * missing / needed


def _prefill_s_per_token(speed: EngineSpeed, sequences: int) -> float:
    step_s = speed.decode_step_s + sequences * speed.decode_s_per_sequence
    return speed.prefill_s_per_token + step_s / speed.prefill_chunk_tokens


def _between_tokens_s(
    speed: EngineSpeed,
    sequences: int,
    read_tokens: int,
) -> float:
    chunk_tokens = min(read_tokens, speed.prefill_chunk_tokens)
    step_s = speed.decode_step_s + (sequences + 1) * speed.decode_s_per_sequence
    return step_s + chunk_tokens * speed.prefill_s_per_token
