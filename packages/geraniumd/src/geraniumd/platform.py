"""The adapter to the platform: its objects, lists, orders and reports."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

import aiohttp
from geranium_coordination import (
    ABSENT_VERSION,
    AnswerLostError,
    Condition,
    ConflictError,
    IfAbsent,
    IfVersion,
    StoredObject,
    UnavailableError,
    Unconditional,
)
from geranium_model import Host, TargetOrder, Usage
from geranium_relay.resends import ConnectionLostError, send_once
from yarl import URL

from .listings import ListedTarget, parse_hosts, parse_targets
from .settings import PlatformSettings

MS_PER_S = 1000
_WATCH_GRACE_S = 5


class PlatformClient:
    """The platform's interface, one method a call.

    It is an ``ObjectStore``: its errors are those of
    ``geranium_coordination``.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._base = URL(f'http://{settings.address}')
        self._session: aiohttp.ClientSession | None = None
        self._watched_by_key: dict[str, StoredObject] = {}
        self.calls_by_kind = {'read': 0, 'write': 0, 'watch': 0}

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` where it is absent."""
        self.calls_by_kind['read'] += 1
        async with self._call('GET', self._object_url(key)) as response:
            if response.status == HTTPStatus.NOT_FOUND:
                return None
            return await _to_object(key, response)

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys begin so, ordered by key."""
        self.calls_by_kind['read'] += 1
        url = (self._base / 'objects').with_query(prefix=prefix)
        async with self._call('GET', url) as response:
            listing = await response.json()
        return tuple(
            StoredObject(row['key'], row['version'], row['value'])
            for row in listing['objects']
        )

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version.

        Raises:
            ConflictError: If the condition did not hold.
        """
        self.calls_by_kind['write'] += 1
        async with self._call(
            'PUT',
            self._object_url(key),
            json=body,
            headers=_condition_headers(condition),
        ) as response:
            _raise_conflict(key, response)
            return _version(response)

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; an absent one is a conflict.

        Raises:
            ConflictError: If the condition did not hold.
        """
        self.calls_by_kind['write'] += 1
        async with self._call(
            'DELETE',
            self._object_url(key),
            headers=_condition_headers(condition),
        ) as response:
            _raise_conflict(key, response)
            if response.status == HTTPStatus.NOT_FOUND:
                raise ConflictError(key, ABSENT_VERSION)

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the object's version differs from the one seen."""
        self.calls_by_kind['watch'] += 1
        wait_ms = int(wait_s * MS_PER_S)
        url = self._object_url(key).with_query(
            watch=seen_version,
            wait_ms=wait_ms,
        )
        timeout_s = wait_s + _WATCH_GRACE_S
        async with self._call('GET', url, timeout_s=timeout_s) as response:
            if response.status == HTTPStatus.NOT_FOUND:
                return None
            if response.status == HTTPStatus.OK:
                seen = await _to_object(key, response)
                self._watched_by_key[key] = seen
                return seen
        return await self._unchanged(key, seen_version)

    async def hosts(self) -> tuple[Host, ...]:
        """Return the platform's lagging list of hosts."""
        self.calls_by_kind['read'] += 1
        async with self._call('GET', self._base / 'hosts') as response:
            return parse_hosts(await response.read())

    async def targets(self) -> tuple[ListedTarget, ...]:
        """Return the platform's lagging list of targets."""
        self.calls_by_kind['read'] += 1
        async with self._call('GET', self._base / 'targets') as response:
            return parse_targets(await response.read())

    async def order_targets(
        self,
        order_id: str,
        epoch: int,
        order: TargetOrder,
    ) -> None:
        """Order targets; the same order id again changes nothing."""
        self.calls_by_kind['write'] += 1
        body = {
            'order_id': order_id,
            'epoch': epoch,
            'service': order.service,
            'zone': order.zone,
            'purchase': order.purchase.value,
            'count': order.count,
        }
        url = self._base / 'target-orders'
        async with self._call('POST', url, json=body):
            return

    async def report_usage(
        self,
        window: str,
        report_id: str,
        epoch: int,
        usage_by_team: Mapping[str, Usage],
    ) -> None:
        """Report the sealed usage of a window."""
        self.calls_by_kind['write'] += 1
        figures = {
            team: {
                'prompt_tokens': usage.prompt_tokens,
                'generated_tokens': usage.generated_tokens,
                'requests': usage.requests,
            }
            for team, usage in usage_by_team.items()
        }
        body = {'report_id': report_id, 'epoch': epoch, 'figures': figures}
        url = self._base / 'usage-reports' / window
        async with self._call('PUT', url, json=body):
            return

    async def _unchanged(
        self,
        key: str,
        seen_version: int,
    ) -> StoredObject | None:
        """Return an object that a watch found as it was."""
        if seen_version == ABSENT_VERSION:
            return None
        watched = self._watched_by_key.get(key)
        if watched is not None and watched.version == seen_version:
            return watched
        return await self.read(key)

    def _object_url(self, key: str) -> URL:
        return self._base / 'objects' / key

    @asynccontextmanager
    async def _call(
        self,
        method: str,
        url: URL,
        *,
        timeout_s: float | None = None,
        json: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or self._settings.call_timeout_s,
        )
        try:
            async with self._open_session().request(
                method,
                url,
                json=json,
                headers=headers,
                timeout=timeout,
            ) as response:
                _raise_unavailable(response)
                yield response
        except aiohttp.ClientConnectorError as error:
            raise UnavailableError(f'platform: {error}') from error
        except (
            TimeoutError,
            aiohttp.ClientError,
            ConnectionLostError,
        ) as error:
            raise AnswerLostError(f'platform: {error!r}') from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(middlewares=(send_once,))
        return self._session


def _condition_headers(condition: Condition) -> Mapping[str, str]:
    match condition:
        case IfVersion(version=version):
            return {'If-Match': f'"{version}"'}
        case IfAbsent():
            return {'If-None-Match': '*'}
        case Unconditional():
            return {}


def _version(response: aiohttp.ClientResponse) -> int:
    return int(response.headers['ETag'].strip('"'))


async def _to_object(
    key: str,
    response: aiohttp.ClientResponse,
) -> StoredObject:
    return StoredObject(key, _version(response), await response.json())


def _raise_conflict(key: str, response: aiohttp.ClientResponse) -> None:
    if response.status == HTTPStatus.PRECONDITION_FAILED:
        present = ABSENT_VERSION
        if 'ETag' in response.headers:
            present = _version(response)
        raise ConflictError(key, present)


def _raise_unavailable(response: aiohttp.ClientResponse) -> None:
    match response.status:
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = float(response.headers.get('Retry-After', 0))
            raise UnavailableError(
                f'platform: status {response.status}',
                retry_after_s,
            )
        case status if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise AnswerLostError(f'platform: status {status}')
