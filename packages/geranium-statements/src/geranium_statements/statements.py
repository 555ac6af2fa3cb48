"""The statement types."""

import dataclasses
from typing import TypeAlias

from .commands import Command
from .orders import Order
from .queries import Query


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A configuration command, ``COMMAND [if version N]``.

    With ``expected_version`` it is applied only if the configuration has that
    version.
    """

    command: Command
    expected_version: int | None = None


Statement: TypeAlias = Query | Change | Order
