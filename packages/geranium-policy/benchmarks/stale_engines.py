"""Engines with slots, serial prefill and a prefix cache, for ``even_load``."""

import collections
import dataclasses
from collections.abc import Callable

from batching import Timeline

PREFILL_TOKENS_PER_S = 50000.0  # of a prefill-only engine; others reach half
STEP_S = 0.01  # between the tokens of a sequence that runs alone
STEP_PER_SEQUENCE_S = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """The engines of a fleet.

    Args:
        slots: Sequences that an engine runs concurrently.
        queue: Requests that wait at an engine beyond its slots.
        kv_tokens: Prompt tokens that an engine caches.
        speeds: Relative speeds, which engines have in turn.
        generated: Tokens of a response.
        generating: Engines that prefill and generate.
        prefill_only: Engines that only prefill.
    """

    slots: int
    queue: int
    kv_tokens: int
    speeds: tuple[float, ...]
    generated: int
    generating: int = 30
    prefill_only: int = 15


@dataclasses.dataclass(frozen=True, slots=True)
class PromptKind:
    """A prompt with a shared prefix and tokens of its own."""

    prefix: str
    shared_tokens: int
    own_tokens: int

    @property
    def tokens(self) -> int:
        """Length of the prompt."""
        return self.shared_tokens + self.own_tokens


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A request at an engine.

    Args:
        kind: Its prompt.
        generated: Tokens to generate; 0 if the engine only prefills.
        is_prefilled: Whether another engine has prefilled the prompt.
        host: The host that sent it.
        deadline: Time at which its caller gives up.
        begun: Called at the first token with the time of its own prefill.
        done: Called when its slot is free again.
        dropped: Called if its caller has given up before it started.
    """

    kind: PromptKind
    generated: int
    is_prefilled: bool
    host: str
    deadline: float
    begun: Callable[[float], None]
    done: Callable[[], None]
    dropped: Callable[[], None]


class SlotEngine:
    """An engine that runs as many requests at once as it has slots.

    ``running`` are the requests in slots, ``again_tokens`` the shared prompt
    tokens that were prefilled because they were not cached.
    """

    def __init__(
        self,
        name: str,
        zone: int,
        plan: FleetPlan,
        speed: float,
        prefill_only: bool,
        timeline: Timeline,
    ) -> None:
        self.name = name
        self.zone = zone
        self.prefill_only = prefill_only
        self.slots = plan.slots
        self.running = 0
        self.again_tokens = 0
        self._speed = speed
        self._tokens_per_s = PREFILL_TOKENS_PER_S * speed
        if not prefill_only:
            self._tokens_per_s /= 2
        self._plan = plan
        self._timeline = timeline
        self._waiting: collections.deque[Task] = collections.deque()
        self._prefilled_at: float = 0
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_since: dict[str, tuple[float, str]] = {}
        self._cached_tokens = 0
        self._own_prompts = 0

    def submit(self, task: Task) -> bool:
        """Accept a request unless the queue is full."""
        if self.running < self.slots:
            self._start(task)
            return True
        if len(self._waiting) >= self._plan.queue:
            return False
        self._waiting.append(task)
        return True

    def cached_tokens(self, kind: PromptKind, host: str, known: float) -> int:
        """Return the cached tokens of a prompt that a host knows of.

        Args:
            kind: The prompt.
            host: The host, which knows at once what it has sent.
            known: Until when it knows what others have sent.
        """
        if kind.prefix not in self._cached_since:
            return 0
        since, sender = self._cached_since[kind.prefix]
        return kind.shared_tokens if since <= known or sender == host else 0

    def _start(self, task: Task) -> None:
        self.running += 1
        now = self._timeline.now
        prefill_s: float = 0
        if not task.is_prefilled:
            prefill_s = self._prefill(task) / self._tokens_per_s
        self._prefilled_at = max(self._prefilled_at, now) + prefill_s
        self._timeline.at(
            self._prefilled_at, lambda: self._begin(task, prefill_s)
        )

    def _begin(self, task: Task, prefill_s: float) -> None:
        task.begun(prefill_s)
        step_s = STEP_S + STEP_PER_SEQUENCE_S * (self.running - 1)
        step_s /= self._speed
        ends_at = self._timeline.now + task.generated * step_s
        self._timeline.at(ends_at, lambda: self._finish(task))

    def _finish(self, task: Task) -> None:
        self.running -= 1
        task.done()
        while self._waiting and self.running < self.slots:
            waiting = self._waiting.popleft()
            if waiting.deadline <= self._timeline.now:
                waiting.dropped()
            else:
                self._start(waiting)

    def _prefill(self, task: Task) -> int:
        """Cache the prompt and return the tokens that were not cached."""
        kind = task.kind
        fresh = kind.own_tokens
        if kind.prefix in self._cached:
            self._cached.move_to_end(kind.prefix)
        else:
            fresh += kind.shared_tokens
            self._cache_prefix(kind, task.host)
        self._own_prompts += 1
        self._add(f'own {self._own_prompts}', kind.own_tokens)
        return fresh

    def _cache_prefix(self, kind: PromptKind, host: str) -> None:
        self.again_tokens += kind.shared_tokens
        self._cached_since[kind.prefix] = self._timeline.now, host
        self._add(kind.prefix, kind.shared_tokens)

    def _add(self, part: str, tokens: int) -> None:
        self._cached[part] = tokens
        self._cached_tokens += tokens
        while self._cached_tokens > self._plan.kv_tokens:
            oldest, evicted = self._cached.popitem(last=False)
            self._cached_since.pop(oldest, None)
            self._cached_tokens -= evicted
