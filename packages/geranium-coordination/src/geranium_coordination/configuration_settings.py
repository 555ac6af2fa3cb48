"""Settings of storing and replicating the configuration."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Sizes and time limits of the configuration in the store.

    Args:
        team_buckets: Number of segments that hold teams and their keys.
        target_buckets: Number of segments that hold targets.
        segment_limit_bytes: Segment size above which a change is rejected.
        kept_changes: Number of changes whose operation ids the manifest lists.
        kept_versions: Number of versions for which replaced segments stay
            readable.
        bulk_threshold: Number of missing segments from which all segments
            are read with one listing.
        parallel_calls: Maximum number of concurrent store calls of a load or
            change.
        retry_delay_s: Delay before a failed call is retried.
        call_budget_s: Time after which a load or change fails.
    """

    team_buckets: int = 256
    target_buckets: int = 32
    segment_limit_bytes: int = 786432
    kept_changes: int = 64
    kept_versions: int = 16
    bulk_threshold: int = 16
    parallel_calls: int = 8
    retry_delay_s: float = 0.2
    call_budget_s: float = 10


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessSettings:
    """How long a replica may rely on its version.

    Args:
        confirmation_s: Validity of a confirmation, counted from the instant
            at which the request to the store or the quorum was sent.
        withdrawal_hold_s: Time after its announcement for which a change
            may still be accepted; longer than a change's call budget.
    """

    confirmation_s: float = 4
    withdrawal_hold_s: float = 20
