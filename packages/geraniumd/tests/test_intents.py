"""Operators' intents stay stored until a director has executed them.

An intent may be deleted between a conflicting write and the read that follows.
The new intent must then be written again.
"""

import pytest
from geranium_coordination import MemoryStore, Unconditional
from geraniumd.process import OperatorConflictError
from geraniumd.state import EngineIntent, EngineIntents


class RemovingStore(MemoryStore):
    """Deletes an existing object right before it is read."""

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


async def test_order_is_stored_although_the_previous_one_ends_meanwhile():
    intents = EngineIntents(RemovingStore())
    await intents.add(intent('decode'))
    await intents.add(intent('mixed'))
    kept = await intents.list('llm')
    assert [stored.intent.order_id for stored in kept] == ['mixed']


async def test_order_conflicts_with_a_pending_one():
    intents = EngineIntents(MemoryStore())
    await intents.add(intent('decode'))
    with pytest.raises(OperatorConflictError, match='decode'):
        await intents.add(intent('mixed'))


async def test_storing_the_same_order_again_has_no_effect():
    intents = EngineIntents(MemoryStore())
    await intents.add(intent('decode'))
    await intents.add(intent('decode'))
    assert len(await intents.list('llm')) == 1
