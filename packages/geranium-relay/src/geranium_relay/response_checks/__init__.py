"""Checks of what servers send: is it a response, and does it end?

Servers in trouble send statuses that are none, and bytes without end.
"""

from .body import ResponseEnd, ResponseTooLongError, read_body
from .handler import CheckedResponseHandler, MalformedResponseError
from .status import is_final_status

__all__ = [
    'CheckedResponseHandler',
    'MalformedResponseError',
    'ResponseEnd',
    'ResponseTooLongError',
    'is_final_status',
    'read_body',
]
