"""The result type of the checks."""

import dataclasses
from collections.abc import Callable, Iterator

from ..bounds import Bounds
from ..observations import Ledger


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee and the request or other subject it concerns."""

    promise: str
    subject: str
    detail: str


Check = Callable[[Ledger, Bounds], Iterator[Violation]]
