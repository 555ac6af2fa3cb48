"""Settings of the claim journal."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims are kept.

    Args:
        buckets: Objects that claims are spread over; the same on all hosts.
        bucket_limit_bytes: Size above which a bucket takes no new claim.
        batch_operations: Most operations that one write takes.
        body_limit_bytes: Size above which an outcome's body is not kept.
        claim_timeout_s: Time after which a claim is given up. One store
            call may still be waited for.
        retry_delay_s: Pause before a failed call is tried again.
        writes_per_second: Most writes that this host's journal makes.
        tick_s: Time between the marks by which claims age.
        retention_ticks: Marks after which a claim is forgotten.
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
