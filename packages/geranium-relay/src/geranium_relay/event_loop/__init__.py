"""Shows whether the event loop of a host keeps up."""

from .delay import LoopDelay

__all__ = ['LoopDelay']
