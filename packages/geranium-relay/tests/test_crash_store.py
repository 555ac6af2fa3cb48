"""What crashes targets is known also after all hosts were killed at once."""

import asyncio
import contextlib
from unittest import mock

import geranium_relay as relay
import pytest
from geranium_coordination import Unconditional
from geranium_coordination.memory import MemoryStore
from geranium_policy.crash_causes import (
    CrashCauses,
    CrashCauseSettings,
    RequestFingerprints,
)
from geranium_policy.suspects import SuspectRegister, SuspectSettings
from geranium_relay.crash_suspicion import (
    CrashClocks,
    CrashStore,
    CrashStoreSettings,
)
from geranium_relay.crash_suspicion.crash_store import RECORD_KEY

HARMFUL_PART = 11
HARMFUL = RequestFingerprints(9, (HARMFUL_PART,))
CRASHES = 3


class Process:
    """What a process knows of crashes, and its access to the store."""

    def __init__(self, store: MemoryStore) -> None:
        clock = relay.BootClock()
        self.clock = clock
        self.lines: list[str] = []
        log = relay.DecisionLog(
            relay.LogSettings(), self.lines.append, clock.now
        )
        register = SuspectRegister(SuspectSettings())
        self.causes = CrashCauses(CrashCauseSettings(), register)
        self.crash_store = CrashStore(
            CrashStoreSettings(check_interval_s=0.01),
            store,
            self.causes,
            register,
            CrashClocks(clock, relay.ClusterClock(clock)),
            log,
        )

    def crash_targets(self) -> None:
        now = self.clock.now()
        for number in range(CRASHES):
            request = RequestFingerprints(number, (HARMFUL_PART,))
            self.causes.record_crash(request, f't{number}@1', now - number)

    def rejects(self, fingerprints: RequestFingerprints) -> bool:
        return self.causes.rejects(fingerprints, self.clock.now())

    async def hold_duty(self) -> None:
        """Run the duty until the record is as it should be."""
        lease = mock.Mock(is_held=lambda: True)
        running = asyncio.create_task(self.crash_store.run(lease))
        await asyncio.sleep(0.1)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running


@pytest.fixture
async def store() -> MemoryStore:
    """Return a store into which a holder has written what it knows."""
    memory = MemoryStore()
    holder = Process(memory)
    holder.crash_targets()
    await holder.hold_duty()
    return memory


async def test_process_that_starts_rejects_what_crashed_targets_before(
    store: MemoryStore,
) -> None:
    """After a kill of all hosts, four more targets crashed (review/9)."""
    started = Process(store)

    await started.crash_store.restore()

    assert started.rejects(HARMFUL)


async def test_next_holder_keeps_what_it_has_not_seen_itself(
    store: MemoryStore,
) -> None:
    await Process(store).hold_duty()
    started = Process(store)

    await started.crash_store.restore()

    assert started.rejects(HARMFUL)


async def test_cause_that_a_request_has_disproved_is_forgotten(
    store: MemoryStore,
) -> None:
    holder = Process(store)
    await holder.crash_store.restore()
    holder.causes.record_completion(HARMFUL, holder.clock.now())
    await holder.hold_duty()
    started = Process(store)

    await started.crash_store.restore()

    assert not started.rejects(HARMFUL)


@pytest.mark.parametrize(
    'body',
    [
        None,
        [],
        {},
        {'crashes': 1},
        {'crashes': [None, {}, {'fingerprint': 'x', 'crash': 1}]},
        {
            'crashes': [
                {
                    'fingerprint': '-000000000000001',
                    'crash': 't',
                    'unix_s': 1,
                    'cleared': False,
                }
            ]
        },
    ],
)
async def test_record_that_cannot_be_read_ends_nothing(body: object) -> None:
    memory = MemoryStore()
    await memory.write(RECORD_KEY, body, Unconditional())
    started = Process(memory)

    await started.crash_store.restore()

    assert not started.rejects(HARMFUL)


async def test_store_that_is_away_does_not_stop_a_process() -> None:
    store = mock.Mock(read=lambda _key: asyncio.Event().wait())
    started = Process(store)
    settings = CrashStoreSettings(read_timeout_s=0.01)
    started.crash_store._settings = settings

    await started.crash_store.restore()

    assert 'crashes_not_read' in ''.join(started.lines)
