"""A store that holds entries no writer of this product makes."""

from aiohttp import web
from geranium_platform_standins import StandinStore

RAW = 'raw:'  # begins a text that the store sends as it is

_LEVELS = 200_000
DEEP = ''.join(('[' * _LEVELS, ']' * _LEVELS))
DEEP_TABLES = ''.join(('{"a":' * _LEVELS, '1', '}' * _LEVELS))
LONG_NUMBER = '1' * 5000


def application_with_raw_values(store: StandinStore) -> web.Application:
    """Return the application of a store that sends raw values as they are.

    A text that begins with ``RAW`` is sent without it and without quotes.
    """
    application = store.application()
    application.middlewares.append(_send_raw_values)
    return application


def raw(text: str) -> str:
    """Return the text that is sent as it is."""
    return f'{RAW}{text}:{RAW}'


@web.middleware
async def _send_raw_values(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    response = await handler(request)
    if isinstance(response, web.Response) and response.text:
        response.text = _with_raw_values(response.text)
    return response


def _with_raw_values(text: str) -> str:
    first, *others = text.split(f'"{RAW}')
    parts = [first]
    for other in others:
        value, _, rest = other.partition(f':{RAW}"')
        parts.extend((value.replace(r'\"', '"'), rest))
    return ''.join(parts)
