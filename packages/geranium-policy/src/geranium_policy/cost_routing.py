"""Routing by estimated cost, with separate prefill engines where cheaper."""

import dataclasses
import random
from collections.abc import Sequence

from geranium_model import Engine, Role

from .candidates import CandidateSampler, CandidateSettings
from .costs import CostEstimate, CostModel, CostSettings
from .engine_views import EngineView
from .profiles import RequestProfile
from .spreads import NearEqual, Picker, Spread


@dataclasses.dataclass(frozen=True, slots=True)
class LeastCost:
    """Choose the engine with the least estimated cost.

    Args:
        cost: Weights of the estimated times.
        spread: How daemons avoid choosing the same engine.
        local_prefill_tokens: Maximum number of uncached prompt tokens that a
            decode engine prefills itself instead of a prefill engine.
        candidates: Limits on the number of engines that are estimated.
    """

    cost: CostSettings = dataclasses.field(default_factory=CostSettings)
    spread: Spread = dataclasses.field(default_factory=NearEqual)
    local_prefill_tokens: int = 128
    candidates: CandidateSettings = dataclasses.field(
        default_factory=CandidateSettings,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChoice:
    """The engines chosen for a request.

    Args:
        engine: Generates the response.
        prefill_engine: Prefills the prompt and exports its KV cache to
            ``engine``; ``None`` if ``engine`` prefills it itself.
        estimate: Estimate of the request at the chosen engines; ``None`` from
            the baselines.
        considered: The estimates that were compared.
        reason: A one-line explanation.
    """

    engine: Engine
    prefill_engine: Engine | None
    estimate: CostEstimate | None
    considered: tuple[CostEstimate, ...]
    reason: str


@dataclasses.dataclass(slots=True)
class _Prefill:
    view: EngineView
    estimate: CostEstimate


@dataclasses.dataclass(slots=True)
class _Option:
    view: EngineView
    prefill: _Prefill | None
    estimate: CostEstimate


class CostRouter:
    """Chooses the engine with the least estimated cost."""

    def __init__(self, policy: LeastCost, source: random.Random) -> None:
        self._policy = policy
        self._model = CostModel(policy.cost)
        self._sampler = CandidateSampler(policy.candidates, source)
        self._picker = Picker(policy.spread, source)

    def choose(
        self,
        profile: RequestProfile,
        views: Sequence[EngineView],
        now: float,
    ) -> EngineChoice:
        """Return the cheapest engine choice; ``views`` is not empty."""
        prefill = self._pick_prefill(profile, views, now)
        generating = [
            view for view in views if view.role is not Role.PREFILL
        ] or views
        candidates = self._sampler.draw(profile, generating, now)
        options = [
            self._option(profile, view, prefill, now) for view in candidates
        ]
        estimates = tuple(option.estimate for option in options)
        picked = options[self._picker.pick(estimates)]
        return EngineChoice(
            engine=picked.view.engine,
            prefill_engine=_prefill_engine(picked),
            estimate=picked.estimate,
            considered=estimates,
            reason=_reason(picked),
        )

    def _pick_prefill(
        self,
        profile: RequestProfile,
        views: Sequence[EngineView],
        now: float,
    ) -> _Prefill | None:
        prefilling = [view for view in views if view.role is Role.PREFILL]
        if not prefilling:
            return None
        candidates = self._sampler.draw(profile, prefilling, now)
        estimates = [
            self._model.estimate_prefill(profile, view, now)
            for view in candidates
        ]
        position = self._picker.pick(estimates)
        return _Prefill(candidates[position], estimates[position])

    def _option(
        self,
        profile: RequestProfile,
        view: EngineView,
        prefill: _Prefill | None,
        now: float,
    ) -> _Option:
        estimate = self._model.estimate(profile, view, now)
        uncached_tokens = profile.prompt_tokens - estimate.cached_tokens
        local = uncached_tokens <= self._policy.local_prefill_tokens
        if prefill is None or local:
            return _Option(view, None, estimate)
        local_cost_s = estimate.cost_s
        moved = self._model.move_prefill(
            estimate,
            view,
            uncached_tokens,
            prefill.estimate,
        )
        if view.role is Role.MIXED and local_cost_s <= moved.cost_s:
            return _Option(view, None, estimate)
        return _Option(view, prefill, moved)


def _prefill_engine(option: _Option) -> Engine | None:
    return None if option.prefill is None else option.prefill.view.engine


def _reason(option: _Option) -> str:
    estimate = option.estimate
    first_token_ms = round(estimate.first_token_s * 1000)
    between_tokens_ms = round(estimate.between_tokens_s * 1000)
    engine = _prefill_engine(option)
    reader = 'itself' if engine is None else engine.name
    return (
        f'prompt read by {reader}, {estimate.cached_tokens} tokens cached, '
        f'first token in {first_token_ms} ms, then {between_tokens_ms} ms each'
    )
