"""Emulated engines with a prompt cache and a bounded queue."""

import collections
import dataclasses
from collections.abc import Callable, Sequence

from geranium_relay import PromptPart, Stage, Target

from .plans import EnginePlan
from .simulation import Simulation

MAX_QUEUE_RATIO = 0.5  # of the slots; a longer queue refuses requests
DECODE_PREFILL_SPEED_RATIO = 0.5  # relative to a prefill engine


@dataclasses.dataclass(slots=True)
class EngineTask:
    """A request at an engine, with the host's callbacks.

    Args:
        parts: The parts of the prompt.
        generated: Tokens to generate; 0 for prefill only.
        begun: Called at the first token, or at the end of a prefill.
        done: Called when all tokens are generated.
        lost: Called if the engine stops or the task is cancelled.
        is_prefilled: Whether another engine has computed the prompt.
        cancelled: Whether the task has ended, for any reason.
    """

    parts: Sequence[PromptPart]
    generated: int
    begun: Callable[[], None]
    done: Callable[[], None]
    lost: Callable[[], None]
    is_prefilled: bool = False
    cancelled: bool = False


class Engine:
    """An engine that runs prefill tasks, or prefill and decode tasks."""

    def __init__(
        self,
        target: Target,
        plan: EnginePlan,
        simulation: Simulation,
    ) -> None:
        self.target = target
        self.slowdown = 1.0
        self.is_up = True
        self.fresh_tokens = 0
        self._plan = plan
        self._simulation = simulation
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._prefill_busy_until = float(0)
        self._tasks: list[EngineTask] = []

    @property
    def running(self) -> int:
        """Tasks that run or wait at this engine."""
        return len(self._tasks)

    def submit(self, task: EngineTask) -> bool:
        """Start or queue a task; return ``False`` if the queue is full."""
        if self.running >= self._plan.slots * (1 + MAX_QUEUE_RATIO):
            return False
        self._tasks.append(task)
        now = self._simulation.now()
        prefill_s = float(0)
        if not task.is_prefilled:
            fresh = self._prefill(task.parts)
            self.fresh_tokens += fresh
            prefill_s = fresh / self._prefill_tokens_per_s()
        self._prefill_busy_until = (
            max(self._prefill_busy_until, now) + prefill_s
        )
        self._simulation.at(self._prefill_busy_until, lambda: self._begin(task))
        return True

    def stop(self) -> None:
        """Drop all tasks and the prompt cache, as a crash does."""
        self.is_up = False
        self._cached.clear()
        self._cached_tokens = 0
        tasks = tuple(self._tasks)
        self._tasks.clear()
        for task in tasks:
            if not task.cancelled:
                task.cancelled = True
                task.lost()

    def cancel(self, task: EngineTask) -> None:
        """Stop a task whose deadline has passed."""
        if task.cancelled:
            return
        task.cancelled = True
        if task in self._tasks:
            self._tasks.remove(task)
        task.lost()

    def _prefill_tokens_per_s(self) -> float:
        speed = self._plan.read_tokens_per_s / self.slowdown
        if self.target.stage is Stage.PREFILL:
            return speed
        return speed * DECODE_PREFILL_SPEED_RATIO

    def _begin(self, task: EngineTask) -> None:
        if task.cancelled:
            return
        task.begun()
        batching_s = max(self.running - 1, 0) * self._plan.crowd_step_s
        step_s = (self._plan.step_s + batching_s) * self.slowdown
        self._simulation.after(
            task.generated * step_s,
            lambda: self._finish(task),
        )

    def _finish(self, task: EngineTask) -> None:
        if task.cancelled:
            return
        task.cancelled = True
        self._tasks.remove(task)
        task.done()

    def _prefill(self, parts: Sequence[PromptPart]) -> int:
        """Cache the parts and return the tokens that were not cached.

        A part is a cache hit only if all parts before it are. The least
        recently used parts are evicted beyond ``kv_tokens``.
        """
        fresh = 0
        known = True
        for part in parts:
            known = known and part.identity in self._cached
            if known:
                self._cached.move_to_end(part.identity)
                continue
            fresh += part.tokens
            if part.identity not in self._cached:
                self._cached_tokens += part.tokens
            self._cached[part.identity] = part.tokens
        while self._cached_tokens > self._plan.kv_tokens:
            self._cached_tokens -= self._cached.popitem(last=False)[1]
        return fresh
