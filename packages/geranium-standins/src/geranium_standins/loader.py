"""Weight loading for models and adapters."""

import asyncio
import math
import random
from http import HTTPStatus

import aiohttp

from .exceptions import WeightsError
from .settings import MS_PER_S, LoadSettings
from .weights import PIECE_BYTES

FETCH_TIMEOUT = aiohttp.ClientTimeout(total=10)
DEFAULT_BACKOFF_S = 1.0
MIN_BACKOFF_FACTOR = 0.5


class WeightLoader:
    """Simulates the load time, or fetches weights piece by piece.

    Args:
        settings: Source and size of the weights.
        random_source: Source of the jitter between retries.
    """

    def __init__(
        self,
        settings: LoadSettings,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._random = random_source

    async def load(self, name: str, version: str, share: float = 1) -> None:
        """Load a fraction ``share`` of a model's weights.

        Pieces that the store refuses or fails to deliver are retried without
        limit.
        """
        if not self._settings.platform_address:
            await asyncio.sleep(self._settings.load_ms * share / MS_PER_S)
            return
        pieces = math.ceil(self._settings.weights_bytes * share / PIECE_BYTES)
        address = self._settings.platform_address
        url = f'http://{address}/weights/{name}/{version}'
        async with aiohttp.ClientSession(timeout=FETCH_TIMEOUT) as session:
            for index in range(pieces):
                await self._fetch(session, f'{url}?piece={index}')

    async def _fetch(self, session: aiohttp.ClientSession, url: str) -> None:
        backoff_s: float | None = 0
        while backoff_s is not None:
            await asyncio.sleep(
                backoff_s * self._random.uniform(MIN_BACKOFF_FACTOR, 1)
            )
            try:
                backoff_s = await _fetch_once(session, url)
            except WeightsError:
                backoff_s = DEFAULT_BACKOFF_S


async def _fetch_once(
    session: aiohttp.ClientSession,
    url: str,
) -> float | None:
    """Fetch a piece; return ``None``, or the backoff in seconds."""
    try:
        async with session.get(url) as response:
            await response.read()
            return _backoff_s(response)
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WeightsError(url) from error


def _backoff_s(response: aiohttp.ClientResponse) -> float | None:
    if response.status == HTTPStatus.OK:
        return None
    return float(response.headers.get('Retry-After', DEFAULT_BACKOFF_S))
