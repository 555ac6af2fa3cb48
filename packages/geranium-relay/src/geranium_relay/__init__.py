"""Routes opaque requests by host and path to engines and plain targets.

The package is independent of wire formats: it reaches callers, targets, the
store and the cloud provider through ports, which an adapter implements.
"""

from .call_errors import (
    AnswerLostError,
    NotRunError,
    NotSentError,
    RelayError,
    TargetSilentError,
)
from .catalogue import (
    Catalogue,
    EngineProfile,
    Limits,
    PurchaseTerms,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
    Team,
)
from .catalogue_view import CatalogueView, FreshnessSettings
from .clock import BootClock, ClusterClock
from .decision_log import DecisionLog, LogSettings, PipeWriter
from .duty_tasks import DutyTasks
from .event_framer import EventFramer
from .host_registry import Directory, HostRegistry, RegistrySettings
from .http_connections import ConnectionLostError, ResponseEnd, send_once
from .load_tracker import Dispatch, LoadTracker, TargetLoad
from .messages import (
    CacheHandle,
    Headers,
    IncomingRequest,
    Job,
    PeerIdentity,
    Prompt,
    PromptPart,
    ResponseHead,
    TargetCall,
)
from .open_requests import OpenRequests
from .outcomes import (
    CutOff,
    Delivered,
    Failed,
    Outcome,
    Refused,
    TimedOut,
    UnknownKey,
    UnknownRoute,
)
from .peer_exchange import PeerExchange
from .peer_forwarding import (
    ForwardedRequest,
    PeerClient,
    PeerClientSettings,
    PeerHandlers,
    PeerServer,
    PeerServerSettings,
    ReachSettings,
    RunProgress,
    ServiceReach,
)
from .peer_updates import (
    AdvertisedStoreState,
    Audience,
    KeysByHash,
    Outbox,
    PeerUpdate,
    decode_peer_update,
    encode_peer_update,
)
from .peers import Peers
from .ports import ResponseSink, TargetPort, TargetResponse
from .purchase_controller import (
    NoneAvailable,
    Ordered,
    OrderFailed,
    OrderResult,
    PurchaseController,
    PurchaseControllerSettings,
    PurchaseInputs,
    PurchasePort,
    TargetOrder,
)
from .relay import Relay, RelaySettings, RunSettings
from .run_context import (
    RetryShares,
    RunContext,
    StreamOrigin,
    StreamOrigins,
    StreamOriginSettings,
    VersionRecords,
    VersionRecordSettings,
)
from .shared_reads import (
    SharedReads,
    SharedReadSettings,
    StoreState,
)
from .store_http_client import (
    CallObserver,
    StoreHttpClient,
    StoreResponse,
    StoreSettings,
)
from .target_notices import (
    AdvertisedRateLimit,
    RateLimitNotice,
    TargetNotice,
    TargetNotices,
    TargetRateLimits,
)
from .target_selector import (
    PrefixCacheIndex,
    SelectorContext,
    TargetSelector,
    TargetSelectorSettings,
    home_engine,
)
from .targets import Fleet, FleetChange, Stage, Target, TargetChange
from .telemetry import Telemetry
from .update_composer import HostStatus, PeerUpdateSources
from .update_intervals import PeerSettings, UpdateIntervals
from .usage import (
    PeerUsage,
    UsageCounter,
    UsageDuty,
    UsagePort,
    UsageSettings,
    UsageWriter,
)

__all__ = [
    'AdvertisedRateLimit',
    'AdvertisedStoreState',
    'AnswerLostError',
    'Audience',
    'BootClock',
    'CacheHandle',
    'CallObserver',
    'Catalogue',
    'CatalogueView',
    'ClusterClock',
    'ConnectionLostError',
    'CutOff',
    'DecisionLog',
    'Delivered',
    'Directory',
    'Dispatch',
    'DutyTasks',
    'EngineProfile',
    'EventFramer',
    'Failed',
    'Fleet',
    'FleetChange',
    'ForwardedRequest',
    'FreshnessSettings',
    'Headers',
    'HostRegistry',
    'HostStatus',
    'IncomingRequest',
    'Job',
    'KeysByHash',
    'Limits',
    'LoadTracker',
    'LogSettings',
    'NoneAvailable',
    'NotRunError',
    'NotSentError',
    'OpenRequests',
    'OrderFailed',
    'OrderResult',
    'Ordered',
    'Outbox',
    'Outcome',
    'PeerClient',
    'PeerClientSettings',
    'PeerExchange',
    'PeerHandlers',
    'PeerIdentity',
    'PeerServer',
    'PeerServerSettings',
    'PeerSettings',
    'PeerUpdate',
    'PeerUpdateSources',
    'PeerUsage',
    'Peers',
    'PipeWriter',
    'PrefixCacheIndex',
    'Prompt',
    'PromptPart',
    'PurchaseController',
    'PurchaseControllerSettings',
    'PurchaseInputs',
    'PurchasePort',
    'PurchaseTerms',
    'RateLimitNotice',
    'ReachSettings',
    'Refused',
    'RegistrySettings',
    'Relay',
    'RelayError',
    'RelaySettings',
    'ResponseEnd',
    'ResponseHead',
    'ResponseSink',
    'RetryShares',
    'Route',
    'RouteKind',
    'RouteTable',
    'RunContext',
    'RunProgress',
    'RunSettings',
    'SelectorContext',
    'Service',
    'ServiceReach',
    'Share',
    'SharedReadSettings',
    'SharedReads',
    'Stage',
    'StoreHttpClient',
    'StoreResponse',
    'StoreSettings',
    'StoreState',
    'StreamOrigin',
    'StreamOriginSettings',
    'StreamOrigins',
    'Target',
    'TargetCall',
    'TargetChange',
    'TargetLoad',
    'TargetNotice',
    'TargetNotices',
    'TargetOrder',
    'TargetPort',
    'TargetRateLimits',
    'TargetResponse',
    'TargetSelector',
    'TargetSelectorSettings',
    'TargetSilentError',
    'Team',
    'Telemetry',
    'TimedOut',
    'UnknownKey',
    'UnknownRoute',
    'UpdateIntervals',
    'UsageCounter',
    'UsageDuty',
    'UsagePort',
    'UsageSettings',
    'UsageWriter',
    'VersionRecordSettings',
    'VersionRecords',
    'decode_peer_update',
    'encode_peer_update',
    'home_engine',
    'send_once',
]
