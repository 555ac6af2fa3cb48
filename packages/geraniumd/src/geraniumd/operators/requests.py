"""Requests from operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """An operator's statement.

    ``is_local`` limits it to the host that receives it.
    """

    text: str
    operation_id: str
    author: str
    token: str
    is_local: bool = False
