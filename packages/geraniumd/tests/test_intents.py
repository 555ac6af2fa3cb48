"""Operators' intents are kept until a director has carried them out."""

import pytest
from geranium_coordination import MemoryStore, Unconditional
from geraniumd.process import OperatorConflictError
from geraniumd.state import EngineIntent, EngineIntents


class RemovingStore(MemoryStore):
    """Deletes an object after a write to it has conflicted."""

    async def read(self, key):
        if await super().read(key) is not None:
            await self.delete(key, Unconditional())
        return await super().read(key)


def intent(order_id):
    return EngineIntent(
        engine='engine-1',
        service='llm',
        order_id=order_id,
        author='operator',
        command={'kind': 'set-role', 'role': order_id},
    )


async def test_order_is_kept_though_the_former_one_ends_meanwhile():
    intents = EngineIntents(RemovingStore())
    await intents.add(intent('decode'))
    await intents.add(intent('mixed'))
    kept = await intents.list('llm')
    assert [stored.intent.order_id for stored in kept] == ['mixed']


async def test_order_conflicts_with_another_that_waits():
    intents = EngineIntents(MemoryStore())
    await intents.add(intent('decode'))
    with pytest.raises(OperatorConflictError, match='decode'):
        await intents.add(intent('mixed'))


async def test_same_order_again_changes_nothing():
    intents = EngineIntents(MemoryStore())
    await intents.add(intent('decode'))
    await intents.add(intent('decode'))
    assert len(await intents.list('llm')) == 1
