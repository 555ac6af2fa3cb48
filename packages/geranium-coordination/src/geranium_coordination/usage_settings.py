"""Settings of the usage ledger."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSettings:
    """How usage is gathered and reported.

    Args:
        batch_interval_s: Time between two replications; what a host counted
            since the last one is lost with it.
        late_windows: Windows after its own in which a batch is still taken.
        retry_delay_s: Pause before a failed store call is tried again.
        call_budget_s: Time after which the reporter gives up a store call.
    """

    batch_interval_s: float = 10
    late_windows: int = 48
    retry_delay_s: float = 0.2
    call_budget_s: float = 10
