from .admission import Fleet, Refusal, ServiceQueue
from .admission_settings import AdmissionSettings, FairShares, QueueBounds
from .attempts import FailedAttempt, Lost, NotSent, Refused, ServerError
from .consumption import ConsumptionReport, TeamConsumption
from .cost_routing import EngineChoice, LeastCost
from .dispatches import InFlight
from .engine_views import EngineSpeed, EngineView, EngineViewSettings
from .forecasts import DemandForecast, ForecastSettings, RoleDemand
from .health import (
    Availability,
    HealthSettings,
    HealthTracker,
    Responded,
    ResponseTimeout,
    Unreachable,
)
from .placement import (
    EngineHoldings,
    Load,
    LoadPlanner,
    WantedHoldings,
    WeightStoreSettings,
)
from .prefixes import CacheCleared, PrefixEvicted, PrefixStored, prefix_hashes
from .profiles import RequestProfile
from .queues import QueueEntry
from .retries import GiveUp, RetryAt, RetryBudget, RetryPolicy, RetrySettings
from .roles import EngineRole, RolePlanner, RoleSettings
from .rollouts import EngineVersion, Rollout, RolloutPlan, plan_rollout
from .routing import Router, RouterSettings
from .spend import SpendSettings, TargetPlanner, TargetUse
from .suspects import CrashNotice, SuspectRegister, Verdict, request_fingerprint

__all__ = [
    'AdmissionSettings',
    'Availability',
    'CacheCleared',
    'ConsumptionReport',
    'CrashNotice',
    'DemandForecast',
    'EngineChoice',
    'EngineHoldings',
    'EngineRole',
    'EngineSpeed',
    'EngineVersion',
    'EngineView',
    'EngineViewSettings',
    'FailedAttempt',
    'FairShares',
    'Fleet',
    'ForecastSettings',
    'GiveUp',
    'HealthSettings',
    'HealthTracker',
    'InFlight',
    'LeastCost',
    'Load',
    'LoadPlanner',
    'Lost',
    'NotSent',
    'PrefixEvicted',
    'PrefixStored',
    'QueueBounds',
    'QueueEntry',
    'Refusal',
    'Refused',
    'RequestProfile',
    'Responded',
    'ResponseTimeout',
    'RetryAt',
    'RetryBudget',
    'RetryPolicy',
    'RetrySettings',
    'RoleDemand',
    'RolePlanner',
    'RoleSettings',
    'Rollout',
    'RolloutPlan',
    'Router',
    'RouterSettings',
    'ServerError',
    'ServiceQueue',
    'SpendSettings',
    'SuspectRegister',
    'TargetPlanner',
    'TargetUse',
    'TeamConsumption',
    'Unreachable',
    'Verdict',
    'WantedHoldings',
    'WeightStoreSettings',
    'plan_rollout',
    'prefix_hashes',
    'request_fingerprint',
]
