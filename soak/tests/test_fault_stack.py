"""An overlapping fault does not end another one early."""

import asyncio

from geranium_soak.fault_stack import FaultStack


async def test_longer_fault_is_reapplied_after_shorter_one() -> None:
    applied: list[str] = []
    stack = FaultStack(applied.append, 'calm')

    async with asyncio.TaskGroup() as group:
        group.create_task(stack.hold('long', 0.05))
        group.create_task(stack.hold('short', 0.01))

    assert applied == ['long', 'short', 'long', 'calm']


async def test_shorter_fault_that_began_first() -> None:
    applied: list[str] = []
    stack = FaultStack(applied.append, 'calm')

    async with asyncio.TaskGroup() as group:
        group.create_task(stack.hold('short', 0.01))
        group.create_task(stack.hold('long', 0.05))

    assert applied == ['short', 'long', 'long', 'calm']
