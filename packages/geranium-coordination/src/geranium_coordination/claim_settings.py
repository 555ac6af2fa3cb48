"""Settings of the claim journal."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Sizes, rates and time limits of the claim journal.

    Args:
        buckets: Number of objects that hold claims; the same on all hosts.
        bucket_limit_bytes: Size above which a bucket accepts no new claim.
        batch_operations: Maximum number of operations in one write.
        body_limit_bytes: Size above which an outcome's body is not stored.
        claim_timeout_s: Time after which a claim is abandoned. A store
            call in flight may extend it.
        retry_delay_s: Delay before a failed store call is retried.
        writes_per_second: Maximum write rate of this host's journal.
        tick_s: Interval between ticks, the unit in which claims age.
        retention_ticks: Ticks after which a claim is removed.
    """

    buckets: int = 64
    bucket_limit_bytes: int = 524288
    batch_operations: int = 500
    body_limit_bytes: int = 2048
    claim_timeout_s: float = 2
    retry_delay_s: float = 0.1
    writes_per_second: float = 30
    tick_s: float = 1800
    retention_ticks: int = 48
