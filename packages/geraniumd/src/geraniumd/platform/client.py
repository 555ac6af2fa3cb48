"""HTTP client of the platform: objects, lists, target orders, reports."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

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
from geranium_relay import StoreHttpClient, StoreResponse, StoreSettings

from ..process import PlatformSettings, get_logger
from .listings import ListedTarget, parse_hosts, parse_targets
from .stored_objects import read_object, read_objects, read_version

MS_PER_S = 1000


class PlatformClient:
    """Client with one method for each call of the platform.

    It implements ``ObjectStore`` and raises the store errors of
    ``geranium_coordination``.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = StoreHttpClient(
            StoreSettings(settings.address, settings.call_timeout_s),
        )
        self._last_watched_by_key: dict[str, StoredObject] = {}
        self._left_out_by_list: dict[str, int] = {}
        self._log = get_logger()
        self.calls_by_kind = {'read': 0, 'write': 0, 'watch': 0}

    async def close(self) -> None:
        """Close the connections."""
        await self._http.cleanup()

    @property
    def era(self) -> int:
        """Always 0: this store is never restored from a copy."""
        return 0

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if it does not exist."""
        self.calls_by_kind['read'] += 1
        response = await self._read(_object_path(key))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return read_object(key, response)

    async def read_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys start with a prefix, sorted by key."""
        self.calls_by_kind['read'] += 1
        response = await self._read(f'objects?prefix={quote(prefix)}')
        found, left_out = read_objects(response)
        self._record_left_out(prefix, left_out)
        return found

    async def write(self, key: str, body: Any, condition: Condition) -> int:
        """Write the object and return its new version.

        Raises:
            ConflictError: If the condition is not met.
        """
        self.calls_by_kind['write'] += 1
        response = await self._write(
            'PUT',
            _object_path(key),
            body,
            _condition_headers(condition),
        )
        _raise_conflict(key, response)
        version = read_version(response)
        if version is None:
            raise AnswerLostError(f'{key}: no version')
        return version

    async def delete(self, key: str, condition: Condition) -> None:
        """Delete the object; a missing object is a conflict.

        Raises:
            ConflictError: If the condition is not met.
        """
        self.calls_by_kind['write'] += 1
        response = await self._write(
            'DELETE',
            _object_path(key),
            headers=_condition_headers(condition),
        )
        _raise_conflict(key, response)
        if response.status == HTTPStatus.NOT_FOUND:
            raise ConflictError(key, ABSENT_VERSION)

    async def watch(
        self,
        key: str,
        seen_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Return the object once its version differs from the one seen.

        Returns the unchanged object after ``wait_s``, and ``None`` if it does
        not exist.
        """
        self.calls_by_kind['watch'] += 1
        wait_ms = int(wait_s * MS_PER_S)
        response = await self._read(
            f'{_object_path(key)}?watch={seen_version}&wait_ms={wait_ms}',
            wait_s,
        )
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        if response.status == HTTPStatus.OK:
            seen = read_object(key, response)
            self._last_watched_by_key[key] = seen
            return seen
        return await self._read_unchanged(key, seen_version)

    async def hosts(self) -> tuple[Host, ...]:
        """Return the platform's list of hosts, which may be out of date."""
        self.calls_by_kind['read'] += 1
        response = await self._read('hosts')
        return parse_hosts(
            response.raw, lambda count: self._record_left_out('hosts', count)
        )

    async def targets(self) -> tuple[ListedTarget, ...]:
        """Return the platform's list of targets, which may be out of date."""
        self.calls_by_kind['read'] += 1
        response = await self._read('targets')
        return parse_targets(
            response.raw, lambda count: self._record_left_out('targets', count)
        )

    async def order_targets(
        self,
        order_id: str,
        epoch: int,
        order: TargetOrder,
    ) -> None:
        """Order targets; a repeated order id has no effect."""
        self.calls_by_kind['write'] += 1
        body = {
            'order_id': order_id,
            'epoch': epoch,
            'service': order.service,
            'zone': order.zone,
            'purchase': order.purchase.value,
            'count': order.count,
        }
        await self._write('POST', 'target-orders', body)

    async def report_usage(
        self,
        window: str,
        report_id: str,
        epoch: int,
        usage_by_team: Mapping[str, Usage],
    ) -> None:
        """Submit the sealed usage of a window."""
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
        await self._write('PUT', f'usage-reports/{quote(window)}', body)

    def _record_left_out(self, listed: str, count: int) -> None:
        """Log that a list begins to lack rows, or lacks another number."""
        if count != self._left_out_by_list.get(listed, 0):
            self._left_out_by_list[listed] = count
            self._log.warning('list_rows_left_out', list=listed, count=count)

    async def _read_unchanged(
        self,
        key: str,
        seen_version: int,
    ) -> StoredObject | None:
        """Return the object after a watch that reported no change."""
        if seen_version == ABSENT_VERSION:
            return None
        watched = self._last_watched_by_key.get(key)
        if watched is not None and watched.version == seen_version:
            return watched
        return await self.read(key)

    async def _read(self, path: str, wait_s: float = 0) -> StoreResponse:
        return _check_status(await self._http.read(path, wait_s))

    async def _write(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> StoreResponse:
        return _check_status(
            await self._http.write(method, path, document, headers),
        )


def _object_path(key: str) -> str:
    return f'objects/{quote(key)}'


def _condition_headers(condition: Condition) -> Mapping[str, str]:
    match condition:
        case IfVersion(version=version):
            return {'If-Match': f'"{version}"'}
        case IfAbsent():
            return {'If-None-Match': '*'}
        case Unconditional():
            return {}


def _raise_conflict(key: str, response: StoreResponse) -> None:
    if response.status == HTTPStatus.PRECONDITION_FAILED:
        present: int | None = ABSENT_VERSION
        if 'ETag' in response.headers:
            present = read_version(response)
        raise ConflictError(key, present)


def _check_status(response: StoreResponse) -> StoreResponse:
    """Return the response, or raise an error if the platform failed."""
    match response.status:
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            raise UnavailableError(
                f'platform: status {response.status}',
                response.retry_after_s,
            )
        case status if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise AnswerLostError(f'platform: status {status}')
    return response
