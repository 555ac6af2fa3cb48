"""Sampling of the engines whose cost is estimated for a request."""

import dataclasses
import random
from collections.abc import Sequence

from .engine_views import EngineView
from .profiles import RequestProfile


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSettings:
    """Limits on the work of one choice.

    Args:
        max_candidates: Maximum number of engines that are estimated.
        max_holders: Maximum number of them chosen for their cached prefix.
            The others are sampled at random.
    """

    max_candidates: int = 9
    max_holders: int = 4


class CandidateSampler:
    """Samples candidates among the engines of a service."""

    def __init__(
        self,
        settings: CandidateSettings,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source

    def draw(
        self,
        profile: RequestProfile,
        views: Sequence[EngineView],
        now: float,
    ) -> Sequence[EngineView]:
        """Return the views to estimate.

        Returns all views if there are at most ``max_candidates``. Otherwise
        returns views that have the longest part of the prompt's prefix
        cached and a random sample of the others.
        """
        settings = self._settings
        if len(views) <= settings.max_candidates:
            return views
        holders = _holders(profile, views, now)
        if len(holders) > settings.max_holders:
            holders = self._source.sample(holders, settings.max_holders)
        others = self._source.sample(views, settings.max_candidates)
        for view in others:
            if len(holders) == settings.max_candidates:
                break
            if view not in holders:
                holders.append(view)
        return holders


def _holders(
    profile: RequestProfile,
    views: Sequence[EngineView],
    now: float,
) -> list[EngineView]:
    hashes = profile.prefix_hashes
    if not hashes:
        return []
    middle = len(hashes) // 2
    for prefix in (hashes[-1], hashes[middle], hashes[0]):
        holders = [view for view in views if view.prefixes.holds(prefix, now)]
        if holders:
            return holders
    return []
