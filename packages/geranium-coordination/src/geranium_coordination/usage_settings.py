"""Settings of the usage ledger."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSettings:
    """Intervals and limits of collecting and reporting usage.

    Args:
        batch_interval_s: Interval between replications; a host that fails
            loses the usage counted since the last one.
        late_windows: Number of later windows that still accept a batch.
        retry_delay_s: Delay before a failed store call is retried.
        call_budget_s: Time after which a store call of the reporter fails.
    """

    batch_interval_s: float = 10
    late_windows: int = 48
    retry_delay_s: float = 0.2
    call_budget_s: float = 10
