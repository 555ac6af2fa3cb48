"""Factories of engines, loads and requests for the tests."""

import pytest
from geranium_model import Engine, EngineLoad, Role
from geranium_policy import EngineView, RequestProfile, prefix_hashes
from geranium_policy.admission import ServiceQueue
from geranium_policy.admission_settings import (
    AdmissionSettings,
    FairShares,
    QueueBounds,
)
from geranium_policy.limits import FixedLimit
from geranium_policy.queues import QueueEntry

ENDLESS = 1_000_000
COST = 1000
TEXT = ' '.join(map(str, range(2000)))


@pytest.fixture(scope='session')
def make_view():
    def make(name, role=Role.MIXED):
        engine = Engine(name, 'llm', 'khomas-a', '127.0.0.1:9000', role)
        return EngineView(engine)

    return make


@pytest.fixture(scope='session')
def make_load():
    def make(name, sampled_at, *, accepting=True, **counts):
        counts = {
            'running': 0,
            'waiting': 0,
            'kv_pieces_used': 0,
            'prefill_tokens_waiting': 0,
            **counts,
        }
        return EngineLoad(
            engine=name,
            role=Role.MIXED,
            accepting=accepting,
            kv_pieces=2000,
            sampled_at=sampled_at,
            **counts,
        )

    return make


@pytest.fixture(scope='session')
def profile():
    hashes = prefix_hashes(TEXT)
    return RequestProfile('r-1', 'registry', 'llm', 5, 2250, 200, hashes, 100)


@pytest.fixture(scope='session')
def make_queue():
    def make(policy=None, daemon='host-1', **bounds):
        return ServiceQueue(
            AdmissionSettings(
                daemon=daemon,
                policy=policy or FairShares(),
                bounds=QueueBounds(**bounds),
                limit=FixedLimit(cost_per_engine=COST),
            ),
            now=0,
        )

    return make


@pytest.fixture(scope='session')
def make_entry():
    numbers = iter(range(ENDLESS))

    def make(team='registry', tokens=COST, priority=5, **changes):
        profile = RequestProfile(
            request_id=f'r-{next(numbers)}',
            team=team,
            service='llm',
            priority=priority,
            prompt_tokens=tokens,
            expected_tokens=0,
            prefix_hashes=(),
            deadline=ENDLESS,
        )
        return QueueEntry(
            profile=profile,
            key_id=changes.get('key_id', f'key-of-{team}'),
            arrived_at=changes.get('now', 0),
            first_token_deadline=changes.get('deadline', ENDLESS),
        )

    return make
