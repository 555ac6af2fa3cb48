"""Overlapping faults of one component."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Switches = TypeVar('Switches')


class FaultStack(Generic[Switches]):
    """Applies fault switches for limited times; the latest take precedence.

    When they expire, the latest that are still active are applied again.

    Args:
        apply: Sets the switches of the component.
        calm: The switches of the component without faults.
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
        """Apply switches for ``for_s`` seconds."""
        self._active.append(switches)
        self._apply(switches)
        await asyncio.sleep(for_s)
        self._active.remove(switches)
        self._apply(self._active[-1] if self._active else self._calm)
