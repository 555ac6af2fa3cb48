"""A discrete-event simulation of engines with continuous batching.

It models engines only as far as the policies need: a step generates one token
for each running sequence and prefills a chunk of the waiting prompts, and its
duration grows with both. It has no connections, lost messages or processes,
so its results are those of a model.
"""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable

from geranium_model import Engine, EngineLoad, Role
from geranium_policy import EngineSpeed, RequestProfile
from geranium_policy.prefixes import PREFIX_BLOCK_TOKENS

FIRST_TOKEN_S = 0.56
BETWEEN_TOKENS_S = 0.043
LATE_TOKENS_SHARE = 0.05
KV_PIECES = 2000
PREFILL_CHUNK_TOKENS = 2048
ROLE_CHANGE_S = 6


@dataclasses.dataclass(order=True, slots=True)
class _Action:
    instant: float
    number: int
    action: Callable[[], None] = dataclasses.field(compare=False)


class Timeline:
    """Event queue that runs actions at instants of simulated time."""

    def __init__(self) -> None:
        self.now: float = 0
        self._numbers = itertools.count()
        self._actions: list[_Action] = []

    def at(self, instant: float, action: Callable[[], None]) -> None:
        """Schedule an action; actions at the same instant run in call order."""
        number = next(self._numbers)
        heapq.heappush(self._actions, _Action(instant, number, action))

    def every(self, period_s: float, action: Callable[[], None]) -> None:
        """Run an action now and then once per period."""
        action()
        self.at(self.now + period_s, lambda: self.every(period_s, action))

    def run(self, until: float) -> None:
        """Run all actions that are due up to an instant."""
        while self._actions and self._actions[0].instant <= until:
            due = heapq.heappop(self._actions)
            self.now = due.instant
            due.action()


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A simulated request and the times of its tokens."""

    profile: RequestProfile
    output_tokens: int
    arrived_at: float
    sent_at: float = 0
    first_token_at: float | None = None
    ended_at: float | None = None
    unprefilled_tokens: int = 0
    generated: int = 0
    token_at: float = 0
    late_tokens: int = 0
    refused: bool = False

    @property
    def tokens(self) -> int:
        """Length of the prompt and the response."""
        return self.profile.prompt_tokens + self.output_tokens

    def record_token(self, now: float) -> None:
        """Record that the next token is generated now."""
        self.generated += 1
        if self.generated == 1:
            self.first_token_at = now
        elif now - self.token_at > BETWEEN_TOKENS_S:
            self.late_tokens += 1
        self.token_at = now
        if self.generated >= self.output_tokens:
            self.ended_at = now

    def is_good(self) -> bool:
        """Return whether the response is complete and meets the objectives.

        The objectives are the time to the first token, and the time between
        tokens for 95 in 100 of the response's tokens.
        """
        if self.first_token_at is None or self.ended_at is None:
            return False
        if self.first_token_at - self.arrived_at > FIRST_TOKEN_S:
            return False
        return self.late_tokens <= LATE_TOKENS_SHARE * self.generated


@dataclasses.dataclass(frozen=True, slots=True)
class JobEvents:
    """Callbacks for the progress of a job."""

    read: Callable[[Job], None]
    first_token: Callable[[Job], None]
    end: Callable[[Job], None]


@dataclasses.dataclass(slots=True, eq=False)
class _Task:
    job: Job
    events: JobEvents
    prefill_only: bool
    pieces: int


class PrefixCache:
    """An engine's prefix cache of whole blocks with LRU eviction."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def matched_tokens(self, profile: RequestProfile) -> int:
        """Return how many leading tokens of the prompt are cached."""
        blocks = 0
        for block in profile.prefix_hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            blocks += 1
        return min(blocks * PREFIX_BLOCK_TOKENS, profile.prompt_tokens - 1)

    def store(self, profile: RequestProfile) -> list[int]:
        """Store the prompt's blocks and return the new ones."""
        new = [
            block
            for block in profile.prefix_hashes
            if block not in self._blocks
        ]
        for block in profile.prefix_hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        return new

    def shrink(self, tokens: int) -> list[int]:
        """Evict blocks down to a number of tokens and return them."""
        evicted = []
        while len(self._blocks) * PREFIX_BLOCK_TOKENS > max(tokens, 0):
            evicted.append(self._blocks.popitem(last=False)[0])
        return evicted


class ModelEngine:
    """A simulated engine."""

    def __init__(
        self,
        engine: Engine,
        speed: EngineSpeed,
        timeline: Timeline,
    ) -> None:
        self.engine = engine
        self.role = engine.role
        self.draining = False
        self.changing = False
        self.changed_at = float('-inf')
        self.read_tokens = 0
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self._speed = speed
        self._timeline = timeline
        self._cache = PrefixCache()
        self._waiting: collections.deque[_Task] = collections.deque()
        self._running: list[_Task] = []
        self._used_pieces = 0
        self._stepping = False

    @property
    def sequences(self) -> int:
        """Number of sequences that run or wait."""
        return len(self._waiting) + len(self._running)

    def submit(
        self, job: Job, events: JobEvents, *, prefill_only: bool
    ) -> None:
        """Accept a job; with ``prefill_only`` another engine generates."""
        job.unprefilled_tokens = job.profile.prompt_tokens
        job.unprefilled_tokens -= self._cache.matched_tokens(job.profile)
        self._waiting.append(self._task(job, events, prefill_only))
        self._start_step()

    def join(self, job: Job, events: JobEvents) -> None:
        """Accept a job whose prompt was prefilled by another engine."""
        job.unprefilled_tokens = 0
        self._waiting.append(self._task(job, events, prefill_only=False))
        self._start_step()

    def change_role(self, role: Role) -> None:
        """Start a role change, which takes time and clears the cache."""
        self.changing = True
        self.evicted.extend(self._cache.shrink(0))
        self._timeline.at(
            self._timeline.now + ROLE_CHANGE_S,
            lambda: self._set_role(role),
        )

    def load(self) -> EngineLoad:
        """Return a load report sampled now."""
        return EngineLoad(
            engine=self.engine.name,
            role=self.role,
            accepting=not (self.draining or self.changing),
            running=len(self._running),
            waiting=len(self._waiting),
            kv_pieces_used=self._used_pieces,
            kv_pieces=KV_PIECES,
            prefill_tokens_waiting=sum(
                task.job.unprefilled_tokens for task in self._waiting
            ),
            sampled_at=self._timeline.now,
        )

    def _set_role(self, role: Role) -> None:
        self.role = role
        self.changing = False
        self.changed_at = self._timeline.now

    def _task(self, job: Job, events: JobEvents, prefill_only: bool) -> _Task:
        tokens = job.profile.prompt_tokens
        if not prefill_only:
            tokens += job.output_tokens
        pieces = -(-tokens // self._speed.tokens_per_piece)
        return _Task(job, events, prefill_only, pieces)

    def _start_step(self) -> None:
        if self._stepping or not self.sequences:
            return
        self._stepping = True
        chunks = self._chunks()
        speed = self._speed
        duration_s = (
            speed.decode_step_s
            + speed.decode_s_per_sequence * len(self._running)
            + speed.prefill_s_per_token * sum(chunks)
        )
        running = tuple(self._running)
        self._timeline.at(
            self._timeline.now + duration_s,
            lambda: self._end_step(running, chunks),
        )

    def _chunks(self) -> list[int]:
        """Return how many tokens of each waiting prompt a step prefills."""
        budget = self._speed.prefill_chunk_tokens
        if self.role is Role.PREFILL:
            budget = PREFILL_CHUNK_TOKENS
        used_pieces = self._used_pieces
        chunks = []
        for task in self._waiting:
            used_pieces += task.pieces
            if budget <= 0 or used_pieces > KV_PIECES:
                break
            chunks.append(min(task.job.unprefilled_tokens, budget))
            budget -= chunks[-1]
        return chunks

    def _end_step(self, running: tuple[_Task, ...], chunks: list[int]) -> None:
        for task in running:
            self._generate(task)
        read = [self._waiting[index] for index in range(len(chunks))]
        for task, tokens in zip(read, chunks, strict=True):
            task.job.unprefilled_tokens -= tokens
            self.read_tokens += tokens
        # Prompts are prefilled in order, so completed prompts come first.
        for task in read:
            if not task.job.unprefilled_tokens:
                self._waiting.remove(task)
                self._finish_prefill(task)
        self._stepping = False
        self._start_step()

    def _finish_prefill(self, task: _Task) -> None:
        self.stored.extend(self._cache.store(task.job.profile))
        if task.prefill_only:
            task.events.read(task.job)
            return
        self._used_pieces += task.pieces
        self._running.append(task)
        free_pieces = KV_PIECES - self._used_pieces
        self.evicted.extend(
            self._cache.shrink(free_pieces * self._speed.tokens_per_piece),
        )
        self._generate(task)

    def _generate(self, task: _Task) -> None:
        job = task.job
        job.record_token(self._timeline.now)
        if job.generated == 1:
            task.events.first_token(job)
        if job.ended_at is not None:
            self._running.remove(task)
            self._used_pieces -= task.pieces
            task.events.end(job)
