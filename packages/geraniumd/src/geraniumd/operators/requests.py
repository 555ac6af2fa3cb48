"""Requests of operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A statement as an operator sent it."""

    text: str
    operation_id: str
    author: str
    token: str
    is_local: bool = False
