"""Settings of the configuration's replication."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How the configuration is stored, changed and read.

    Args:
        team_buckets: Segments that teams and their keys are spread over.
        target_buckets: Segments that targets are spread over.
        segment_limit_bytes: Size above which a change is rejected.
        kept_changes: Changes that the manifest remembers by operation id.
        kept_versions: Versions for which replaced segments stay readable.
        bulk_threshold: Missing segments from which one listing is read in
            place of single objects.
        parallel_calls: Store calls in flight for one load or change.
        retry_delay_s: Pause before a failed call is tried again.
        call_budget_s: Time after which a load or change gives up.
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
    """How long a replica may act on what it holds.

    Args:
        confirmation_s: Time for which a confirmation counts, from the
            instant at which the store or the quorum was asked.
        withdrawal_hold_s: Time after its announcement for which a change
            may still be accepted; longer than a change's call budget.
    """

    confirmation_s: float = 4
    withdrawal_hold_s: float = 20
