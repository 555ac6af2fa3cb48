"""Usage reporting duty and pruning of usage that was reported."""

import asyncio

import pydantic
from geranium_coordination import (
    CoordinationError,
    CountedBatches,
    Held,
    Lease,
    ObjectStore,
    UsageReporter,
)
from geranium_coordination.usage_reporter import HEAD_KEY
from geranium_coordination.usage_seals import decode_seal, seal_key

from ..hosts import PeerCollector, PlatformSubmitter
from ..process import get_logger
from ..state import Context

REPORTER_DUTY = 'usage-reporter'
_SUBMIT_TIMEOUT_S = 2
_MIN_INTERVAL_S = 1


class UsageDuty:
    """Seals and submits each usage window when it is due."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._meter = context.meter
        self._log = get_logger()

    async def run(self, lease: Lease) -> None:
        """Run the duty under a lease until cancelled."""
        reporter = UsageReporter(
            self._context.platform,
            PeerCollector(self._meter.ledger, self._context.links_by_host),
            PlatformSubmitter(self._context.platform),
            lambda: self._epoch(lease),
        )
        while True:
            await self._report(reporter)
            await asyncio.sleep(_interval_s(self._context))

    async def _report(self, reporter: UsageReporter) -> None:
        window = self._meter.due_window()
        try:
            accounts = await reporter.report(window)
        except CoordinationError as error:
            self._log.warning(
                'usage_not_reported',
                window=window,
                error=str(error),
            )
        else:
            self._meter.ledger.prune(accounts)
            self._log.info('usage_reported', window=window)

    def _epoch(self, lease: Lease) -> int | None:
        needed_until = self._context.clock.now() + _SUBMIT_TIMEOUT_S
        state = lease.check(needed_until)
        return state.epoch if isinstance(state, Held) else None


class UsagePruner:
    """Removes usage that a sealed window includes from the local ledger."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._log = get_logger()

    async def run(self) -> None:
        """Prune the ledger once per usage window until cancelled."""
        while True:
            await asyncio.sleep(self._context.settings.usage.window_s)
            try:
                accounts = await _read_accounts(self._context.platform)
            except (CoordinationError, pydantic.ValidationError) as error:
                self._log.warning('accounts_not_read', error=str(error))
            else:
                self._context.meter.ledger.prune(accounts)


async def _read_accounts(store: ObjectStore) -> CountedBatches:
    head = await store.read(HEAD_KEY)
    if head is None:
        return CountedBatches()
    sealed = await store.read(seal_key(head.body['submitted_to']))
    if sealed is None:
        return CountedBatches()
    return decode_seal(sealed.body).accounts


def _interval_s(context: Context) -> float:
    window_s = context.settings.usage.window_s
    return max(_MIN_INTERVAL_S, window_s / 4)
