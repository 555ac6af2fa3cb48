"""Calls of hosts to engines, for ``even_load``."""

import dataclasses
from collections.abc import Callable

from batching import Timeline
from geranium_policy.prompt_placement import Placement
from stale_engines import PromptKind, SlotEngine, Task
from stale_hosts import Sent, StaleHost


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller.

    ``prefill_s`` is the time for which engines have prefilled it.
    """

    kind: PromptKind
    arrived_at: float
    tries: int = 0
    prefill_s: float = 0


def _ignore(request: Request) -> None:
    """Do nothing at the first token of a call that only prefills."""


class EngineCall:
    """A call of a host to one engine, which counts as the host's load.

    ``on_begun``, ``on_done`` and ``on_dropped`` are called at the first token,
    at its end, and if the caller has given up before it started.
    """

    def __init__(
        self,
        request: Request,
        host: StaleHost,
        placement: Placement,
        engine: SlotEngine,
        timeline: Timeline,
        is_prefilled: bool,
    ) -> None:
        self.on_begun: Callable[[Request], None] = _ignore
        self.on_done: Callable[[], None] = lambda: None
        self.on_dropped: Callable[[Request], None] = _ignore
        self._request = request
        self._host = host
        self._engine = engine
        self._timeline = timeline
        self._is_prefilled = is_prefilled
        self._sent = Sent(
            engine.name,
            0 if is_prefilled else placement.fresh_tokens,
            timeline.now,
            placement.first_s,
        )

    def submit(self, generated: int, timeout_s: float) -> bool:
        """Send the request and return whether the engine accepts it."""
        request = self._request
        accepted = self._engine.submit(
            Task(
                request.kind,
                generated,
                self._is_prefilled,
                self._host.name,
                request.arrived_at + timeout_s,
                self._begin,
                self._finish,
                self._drop,
            )
        )
        if accepted:
            self._host.sent.append(self._sent)
        return accepted

    def _begin(self, prefill_s: float) -> None:
        now = self._timeline.now
        self._sent.started_at = now
        self._request.prefill_s += prefill_s
        if not self._is_prefilled:
            self._host.corrections.observe(
                self._engine.name,
                self._sent.expected_s,
                now - self._sent.sent_at,
                now,
            )
        self.on_begun(self._request)

    def _finish(self) -> None:
        self._sent.closed_at = self._timeline.now
        self.on_done()

    def _drop(self) -> None:
        self._sent.closed_at = self._timeline.now
        self.on_dropped(self._request)
