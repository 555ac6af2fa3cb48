"""Engines that read prompts, keep parts of them and generate."""

import collections
import dataclasses
from collections.abc import Callable, Sequence

from geranium_relay import PromptPart, Stage, Target

from .plans import EnginePlan
from .simulation import Simulation

QUEUED_SHARE = 0.5  # of the slots; beyond that an engine refuses
DECODE_READ_SHARE = 0.5  # of a prefill engine's speed


@dataclasses.dataclass(slots=True)
class Work:
    """A request at an engine, and what the host is called back with.

    Args:
        parts: Its prompt.
        generated: Tokens to generate; 0 for a prompt that is only read.
        begun: Called at the first token, or when the prompt is read.
        done: Called when all is generated.
        lost: Called if the engine goes.
    """

    parts: Sequence[PromptPart]
    generated: int
    begun: Callable[[], None]
    done: Callable[[], None]
    lost: Callable[[], None]
    is_read: bool = False
    cancelled: bool = False


class Engine:
    """One engine, read-only or generating as well."""

    def __init__(
        self,
        target: Target,
        plan: EnginePlan,
        simulation: Simulation,
    ) -> None:
        self.target = target
        self.slowness = 1.0
        self.is_up = True
        self.fresh_tokens = 0
        self._plan = plan
        self._simulation = simulation
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_tokens = 0
        self._reads_until = float(0)
        self._works: list[Work] = []

    @property
    def running(self) -> int:
        """Requests that run or wait here."""
        return len(self._works)

    def take(self, work: Work) -> bool:
        """Begin or queue a request; ``False`` says that it is refused."""
        if self.running >= self._plan.slots * (1 + QUEUED_SHARE):
            return False
        self._works.append(work)
        now = self._simulation.now()
        read_s = float(0)
        if not work.is_read:
            fresh = self._read(work.parts)
            self.fresh_tokens += fresh
            read_s = fresh / self._read_speed()
        self._reads_until = max(self._reads_until, now) + read_s
        self._simulation.at(self._reads_until, lambda: self._begin(work))
        return True

    def stop(self) -> None:
        """Lose all requests and all that is kept."""
        self.is_up = False
        self._kept.clear()
        self._kept_tokens = 0
        works = tuple(self._works)
        self._works.clear()
        for work in works:
            if not work.cancelled:
                work.cancelled = True
                work.lost()

    def call_off(self, work: Work) -> None:
        """Stop a request that nobody waits for any more."""
        if work.cancelled:
            return
        work.cancelled = True
        if work in self._works:
            self._works.remove(work)
        work.lost()

    def _read_speed(self) -> float:
        speed = self._plan.read_tokens_per_s / self.slowness
        if self.target.stage is Stage.PREFILL:
            return speed
        return speed * DECODE_READ_SHARE

    def _begin(self, work: Work) -> None:
        if work.cancelled:
            return
        work.begun()
        crowd = max(self.running - 1, 0) * self._plan.crowd_step_s
        step_s = (self._plan.step_s + crowd) * self.slowness
        self._simulation.after(
            work.generated * step_s,
            lambda: self._finish(work),
        )

    def _finish(self, work: Work) -> None:
        if work.cancelled:
            return
        work.cancelled = True
        self._works.remove(work)
        work.done()

    def _read(self, parts: Sequence[PromptPart]) -> int:
        """Keep the parts; return how many tokens had to be read."""
        fresh = 0
        known = True
        for part in parts:
            known = known and part.identity in self._kept
            if known:
                self._kept.move_to_end(part.identity)
                continue
            fresh += part.tokens
            if part.identity not in self._kept:
                self._kept_tokens += part.tokens
            self._kept[part.identity] = part.tokens
        while self._kept_tokens > self._plan.kv_tokens:
            self._kept_tokens -= self._kept.popitem(last=False)[1]
        return fresh
