"""Cost model: estimated latencies of a request at an engine."""

import dataclasses

from .engine_views import EngineSpeed, EngineView
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class CostSettings:
    """Weights of the estimated latencies.

    Args:
        first_token_objective_s: Objective for the time to the first token.
        between_tokens_objective_s: Objective for the time between tokens.
        miss_weight: Cost, in seconds, of exceeding an objective by 100 %.
            Late requests don't count as served.
        batch_weight: Weight of the time by which the request and the
            sequences in its batch slow each other down.
        full_memory_s: Cost of waiting for KV memory if none of the memory
            that the request needs is free.
        kv_transfer_s_per_token: Time to transfer one prompt token's KV cache
            between engines.
    """

    first_token_objective_s: float = 0.56
    between_tokens_objective_s: float = 0.043
    miss_weight: float = 1.0
    batch_weight: float = 0.1
    full_memory_s: float = 2.0
    kv_transfer_s_per_token: float = 4e-6


@dataclasses.dataclass(slots=True)
class CostEstimate:
    """Estimated latencies and cost of a request at an engine.

    Times are in seconds. Choices compare ``cost_s``, which is computed from
    the other times.
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
    """Estimates the cost of requests at engines from the engines' views."""

    def __init__(self, settings: CostSettings) -> None:
        self._settings = settings

    def estimate(
        self,
        profile: RequestProfile,
        view: EngineView,
        now: float,
    ) -> CostEstimate:
        """Estimate prefill and generation of the request at the engine."""
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
        estimate.cost_s = self._total_cost_s(estimate)
        return estimate

    def estimate_prefill(
        self,
        profile: RequestProfile,
        view: EngineView,
        now: float,
    ) -> CostEstimate:
        """Estimate only the prefill of the prompt at the engine."""
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
        """Return an estimate with the prefill moved to another engine.

        Args:
            estimate: Estimate of the generating engine.
            view: View of the generating engine.
            moved_tokens: Prompt tokens whose KV cache is transferred to it.
            prefill: Estimate of the engine that prefills the prompt.
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
        moved.cost_s = self._total_cost_s(moved)
        return moved

    def _total_cost_s(self, estimate: CostEstimate) -> float:
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
    prefill_tokens: int,
) -> float:
    chunk_tokens = min(prefill_tokens, speed.prefill_chunk_tokens)
    step_s = speed.decode_step_s + (sequences + 1) * speed.decode_s_per_sequence
    return step_s + chunk_tokens * speed.prefill_s_per_token
