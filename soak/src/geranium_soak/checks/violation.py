"""A promise that was not kept."""

import dataclasses
from collections.abc import Callable, Iterator

from ..bounds import Bounds
from ..observations import Ledger


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept, and the request or subject it is about."""

    promise: str
    subject: str
    detail: str


Check = Callable[[Ledger, Bounds], Iterator[Violation]]
