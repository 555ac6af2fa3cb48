"""Simulated daemons that admit, route and plan roles by the policies."""

import dataclasses
import functools
import itertools
import random
from collections.abc import Mapping, Sequence

from batching import (
    BETWEEN_TOKENS_S,
    FIRST_TOKEN_S,
    KV_PIECES,
    Job,
    JobEvents,
    ModelEngine,
    Timeline,
)
from geranium_model import (
    Drain,
    Engine,
    EngineLoad,
    Resume,
    Role,
    SetRole,
)
from geranium_policy.admission import Fleet, ServiceQueue
from geranium_policy.admission_settings import AdmissionSettings
from geranium_policy.dispatches import InFlight
from geranium_policy.engine_views import (
    EngineSpeed,
    EngineView,
    EngineViewSettings,
)
from geranium_policy.forecasts import (
    DemandForecast,
    ForecastSettings,
    RoleDemand,
)
from geranium_policy.prefixes import CacheEvent, PrefixEvicted, PrefixStored
from geranium_policy.queues import QueueEntry
from geranium_policy.roles import (
    EngineRole,
    RolePlanner,
    RoleSettings,
    RoleStep,
)
from geranium_policy.routing import Router, RouterSettings, RoutingPolicy

RETRY_S = 0.01
TRANSFER_S_PER_TOKEN = 4e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ServingSettings:
    """Settings of a simulated service.

    Args:
        roles: Initial roles of the engines.
        daemons: Number of daemons.
        routing: Routing policy.
        admission: Admission settings; ``daemon`` is replaced.
        role_plan: Settings of the role planner.
        load_period_s: Sampling period of the load reports.
        report_lag_s: Delay of load reports and cache events.
        event_gap: Share of the cache events that are lost.
        share_period_s: Period in which peers exchange their counts; 0
            disables the exchange.
        speed: The engines' step times, which the daemons know.
    """

    roles: tuple[Role, ...]
    daemons: int
    routing: RoutingPolicy
    admission: AdmissionSettings
    role_plan: RoleSettings
    load_period_s: float = 1
    report_lag_s: float = 0.5
    event_gap: float = 0.2
    share_period_s: float = 0.1
    speed: EngineSpeed = dataclasses.field(default_factory=EngineSpeed)


class ModelDaemon:
    """A simulated daemon."""

    def __init__(
        self,
        name: str,
        settings: ServingSettings,
        engines: Mapping[str, ModelEngine],
        timeline: Timeline,
        seed: int,
    ) -> None:
        self.name = name
        self.queue = ServiceQueue(
            dataclasses.replace(settings.admission, daemon=name, seed=seed),
            timeline.now,
        )
        self.views_by_engine = {
            engine.engine.name: EngineView(
                engine.engine,
                EngineViewSettings(settings.speed),
            )
            for engine in engines.values()
        }
        self.forecast = DemandForecast(
            ForecastSettings(BETWEEN_TOKENS_S, KV_PIECES),
            settings.speed,
            timeline.now,
        )
        self._router = Router(RouterSettings(settings.routing, seed))
        self._engines = engines
        self._timeline = timeline
        self._waiting_by_id: dict[str, Job] = {}

    def receive(self, job: Job) -> None:
        """Admit or refuse a request."""
        now = self._timeline.now
        entry = QueueEntry(
            profile=job.profile,
            key_id='',
            arrived_at=now,
            first_token_deadline=now + FIRST_TOKEN_S,
        )
        self._waiting_by_id[job.profile.request_id] = job
        for refusal in self.queue.offer(entry, now):
            self._refuse(refusal.entry)
        self.send_released()

    def expire(self) -> None:
        """Refuse requests that have waited too long."""
        for refusal in self.queue.expire(self._timeline.now):
            self._refuse(refusal.entry)

    def send_released(self) -> None:
        """Send all requests that the queue releases."""
        entry = self.queue.release(self._timeline.now)
        while entry is not None:
            self._send(self._waiting_by_id.pop(entry.profile.request_id))
            entry = self.queue.release(self._timeline.now)

    def _refuse(self, entry: QueueEntry) -> None:
        self._waiting_by_id.pop(entry.profile.request_id).refused = True

    def _send(self, job: Job) -> None:
        now = self._timeline.now
        views = tuple(self.views_by_engine.values())
        choice = self._router.choose(job.profile, views, now)
        if choice is None:
            self._timeline.at(now + RETRY_S, lambda: self._send(job))
            return
        job.sent_at = now
        view = self.views_by_engine[choice.engine.name]
        uncached_tokens = job.profile.prompt_tokens
        uncached_tokens -= view.cached_tokens(job.profile, now)
        self.forecast.record(job.profile, uncached_tokens, now)
        events = JobEvents(
            read=lambda read: None,
            first_token=lambda started: self._record_first(view, started),
            end=lambda ended: self._record_end(view, ended),
        )
        engine = self._engines[choice.engine.name]
        if choice.prefill_engine is None:
            view.record_dispatch(job.profile, now)
            engine.submit(job, events, prefill_only=False)
        else:
            view.record_dispatch(job.profile, now, kv_imported=True)
            self._send_to_prefill(job, choice.prefill_engine, engine, events)

    def _send_to_prefill(
        self,
        job: Job,
        prefill: Engine,
        engine: ModelEngine,
        events: JobEvents,
    ) -> None:
        view = self.views_by_engine[prefill.name]
        reading = dataclasses.replace(job.profile, expected_tokens=0)
        view.record_dispatch(reading, self._timeline.now)
        moving = dataclasses.replace(
            events,
            read=lambda read: self._transfer(view, read, engine, events),
        )
        self._engines[prefill.name].submit(job, moving, prefill_only=True)

    def _transfer(
        self,
        view: EngineView,
        job: Job,
        engine: ModelEngine,
        events: JobEvents,
    ) -> None:
        view.record_end(job.profile.request_id, self._timeline.now)
        transfer_s = job.profile.prompt_tokens * TRANSFER_S_PER_TOKEN
        self._timeline.at(
            self._timeline.now + transfer_s,
            lambda: engine.join(job, events),
        )

    def _record_first(self, view: EngineView, job: Job) -> None:
        view.record_first_token(job.profile.request_id)
        now = self._timeline.now
        self.queue.record_first_token(now - job.sent_at)

    def _record_end(self, view: EngineView, job: Job) -> None:
        view.record_end(job.profile.request_id, self._timeline.now)
        self.queue.complete(
            job.profile.request_id,
            job.profile.prompt_tokens,
            job.output_tokens,
        )
        self.send_released()


class ModelService:
    """The simulated engines and daemons of one service."""

    def __init__(self, settings: ServingSettings, seed: int) -> None:
        self.timeline = Timeline()
        self.role_changes = 0
        self._settings = settings
        self._random = random.Random(seed)
        self._engines = {
            f'e-{number}': ModelEngine(
                Engine(f'e-{number}', 'llm', 'zone', 'address:1', role),
                settings.speed,
                self.timeline,
            )
            for number, role in enumerate(settings.roles)
        }
        self.daemons = [
            ModelDaemon(
                f'host-{number}',
                settings,
                self._engines,
                self.timeline,
                seed + number,
            )
            for number in range(settings.daemons)
        ]
        self._planner = RolePlanner(settings.role_plan)
        self._wanted_by_engine: dict[str, Role] = {}
        self.timeline.every(settings.load_period_s, self._report)
        self.timeline.every(1, self._plan_roles)
        period_s = settings.share_period_s or 1
        self.timeline.every(period_s, self._exchange)

    @property
    def read_tokens(self) -> int:
        """Prompt tokens that engines have prefilled, without cached ones."""
        return sum(engine.read_tokens for engine in self._engines.values())

    def receive_at(self, job: Job, daemon: int) -> None:
        """Schedule the arrival of a request at a daemon."""
        receiver = self.daemons[daemon]
        self.timeline.at(job.arrived_at, lambda: receiver.receive(job))

    def _report(self) -> None:
        now = self.timeline.now
        for engine in self._engines.values():
            load = engine.load()
            events = self._cache_events(engine)
            self.timeline.at(
                now + self._settings.report_lag_s,
                functools.partial(self._deliver, load, events),
            )

    def _deliver(self, load: EngineLoad, events: list[CacheEvent]) -> None:
        for daemon in self.daemons:
            view = daemon.views_by_engine[load.engine]
            view.apply_load(load)
            for event in events:
                view.prefixes.apply(event, self.timeline.now)

    def _cache_events(
        self,
        engine: ModelEngine,
    ) -> list[CacheEvent]:
        events: list[CacheEvent] = []
        events.extend(map(PrefixStored, engine.stored))
        events.extend(map(PrefixEvicted, engine.evicted))
        engine.stored.clear()
        engine.evicted.clear()
        gap = self._settings.event_gap
        return [event for event in events if self._random.random() >= gap]

    def _exchange(self) -> None:
        now = self.timeline.now
        fleet = Fleet(len(self._engines), len(self.daemons))
        reports = [
            daemon.queue.rebalance(fleet, now) for daemon in self.daemons
        ]
        for daemon in self.daemons:
            daemon.expire()
        for receiver, report in itertools.product(self.daemons, reports):
            if receiver.name != report.daemon:
                receiver.queue.apply(report, now)
        if self._settings.share_period_s:
            self._share_counts()
        for daemon in self.daemons:
            daemon.send_released()

    def _share_counts(self) -> None:
        for name in self._engines:
            views = [daemon.views_by_engine[name] for daemon in self.daemons]
            requests = sum(view.local.requests for view in views)
            tokens = sum(view.local.prefill_tokens for view in views)
            for view in views:
                view.peers = InFlight(
                    requests - view.local.requests,
                    tokens - view.local.prefill_tokens,
                )

    def _plan_roles(self) -> None:
        now = self.timeline.now
        demand = sum(
            (daemon.forecast.demand(now) for daemon in self.daemons),
            start=RoleDemand(0, 0),
        )
        for step in self._planner.plan(self._roles(), demand, now):
            self._apply_step(step, self._engines[step.engine])

    def _apply_step(self, step: RoleStep, engine: ModelEngine) -> None:
        match step.command:
            case Drain():
                engine.draining = True
                self._wanted_by_engine[step.engine] = step.wanted
            case SetRole() if not engine.changing:
                engine.change_role(step.wanted)
                self.role_changes += 1
            case Resume():
                engine.draining = False
                self._wanted_by_engine.pop(step.engine)

    def _roles(self) -> Sequence[EngineRole]:
        return [
            EngineRole(
                engine=name,
                role=engine.role,
                wanted=self._wanted_by_engine.get(name),
                draining=engine.draining,
                sequences=engine.sequences,
                changed_at=engine.changed_at,
            )
            for name, engine in self._engines.items()
        ]
