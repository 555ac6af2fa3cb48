"""Makers of the engines, loads and requests that the tests share."""

import pytest
from geranium_model import Engine, EngineLoad, Role
from geranium_policy import EngineView, RequestProfile, prefix_hashes

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
