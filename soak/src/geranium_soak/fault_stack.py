"""Switches of one thing that overlap."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Switches = TypeVar('Switches')


class FaultStack(Generic[Switches]):
    """Puts switches in force for a time; the last ones set go first.

    When they are over, those that are still to last come back into force.

    Args:
        apply: Puts switches in force.
        calm: The switches of a thing that nothing is wrong with.
    """

    def __init__(
        self,
        apply: Callable[[Switches], None],
        calm: Switches,
    ) -> None:
        self._apply = apply
        self._calm = calm
        self._active: list[Switches] = []

    async def hold(self, switches: Switches, for_s: float) -> None:
        """Keep switches in force for so many seconds."""
        self._active.append(switches)
        self._apply(switches)
        await asyncio.sleep(for_s)
        self._active.remove(switches)
        self._apply(self._active[-1] if self._active else self._calm)
