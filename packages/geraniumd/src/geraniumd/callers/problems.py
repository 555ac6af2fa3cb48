"""Problem details (RFC 9457) for failed requests."""

import json
import math
from http import HTTPStatus
from typing import Any

from aiohttp import web
from geranium_model import (
    Completed,
    NotRun,
    Outcome,
    OutcomeUnknown,
    RanAndFailed,
)

CONTENT_TYPE = 'application/problem+json'
_TYPE_PREFIX = 'urn:geraniumdrum:problem:'


def problem_body(outcome: Outcome, request_id: str) -> dict[str, Any]:
    """Return the problem object for an outcome other than ``Completed``."""
    match outcome:
        case NotRun():
            kind = 'not-run'
        case RanAndFailed():
            kind = 'ran-and-failed'
        case OutcomeUnknown():
            kind = 'unknown'
        case Completed():
            raise TypeError('a completed request is no problem')
    slug = outcome.title.lower().replace(' ', '-')
    return {
        'type': f'{_TYPE_PREFIX}{slug}',
        'title': outcome.title,
        'status': outcome.status,
        'detail': outcome.detail,
        'outcome': kind,
        'request_id': request_id,
    }


def problem_response(outcome: Outcome, request_id: str) -> web.Response:
    """Return the HTTP response for an outcome other than ``Completed``."""
    body = problem_body(outcome, request_id)
    headers = {'Request-Id': request_id}
    match outcome:
        case NotRun(status=HTTPStatus.UNAUTHORIZED):
            headers['WWW-Authenticate'] = 'Bearer'
        case (
            NotRun(retry_after_s=wait_s) | OutcomeUnknown(retry_after_s=wait_s)
        ) if wait_s is not None:
            headers['Retry-After'] = str(max(1, math.ceil(wait_s)))
    return web.Response(
        status=body['status'],
        text=json.dumps(body),
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def problem_event(outcome: Outcome, request_id: str) -> bytes:
    """Return the error event that ends a failed stream."""
    body = json.dumps(problem_body(outcome, request_id))
    return f'event: error\ndata: {body}\n\n'.encode()
