"""Client for the load reports, cache events and orders of engines."""

import dataclasses
import json
from typing import Annotated, TypeAlias

import pydantic
from geranium_model import (
    Drain,
    Engine,
    EngineCommand,
    EngineLoad,
    LoadAdapter,
    LoadModel,
    Resume,
    Role,
    SetRole,
)
from geranium_policy import PrefixEvicted, PrefixStored
from geranium_policy.prefixes import CacheEvent

from ..process import TargetError
from .transport import TargetTransport, raise_for_status, read_body

MS_PER_S = 1000
_CALL_TIMEOUT_S = 2
_LIVE = 'live'
_MAX_COUNT = 0xFFFFFFFF  # fits messages to peers
_MAX_HASH = 0xFFFFFFFFFFFFFFFF
_MAX_AGE_MS = 1e9

_Count: TypeAlias = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
_Milliseconds: TypeAlias = Annotated[
    float, pydantic.Field(ge=-_MAX_AGE_MS, le=_MAX_AGE_MS)
]


class _LoadReport(pydantic.BaseModel):
    engine: str
    instance: str = ''
    version: str = ''
    role: Role
    state: str
    running: _Count
    waiting: _Count
    kv_pieces_used: _Count
    kv_pieces: _Count
    prefill_tokens_waiting: _Count
    sampled_ms_ago: _Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load, the instance id of its process and its model's version."""

    instance: str
    version: str
    load: EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventBatch:
    """Cache events and the sequence number to read on from."""

    events: tuple[CacheEvent, ...]
    next_seq: int


class _CacheEventRow(pydantic.BaseModel):
    kind: str
    prefix: Annotated[int, pydantic.Field(ge=-_MAX_HASH, le=_MAX_HASH)]


class _CacheEventPage(pydantic.BaseModel):
    events: tuple[_CacheEventRow, ...]
    next: Annotated[int, pydantic.Field(le=_MAX_HASH)]


class EngineClient:
    """Reads reports of engines and sends them orders."""

    def __init__(self, transport: TargetTransport) -> None:
        self._transport = transport

    async def load(self, engine: Engine, now: float) -> LoadReport:
        """Return the engine's load report, which lags behind its state.

        Raises:
            TargetError: If there is no valid response in time.
        """
        text = await self._get(f'http://{engine.address}/load')
        try:
            report = _LoadReport.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise TargetError('malformed load report') from error
        load = EngineLoad(
            engine=report.engine,
            role=report.role,
            accepting=report.state == _LIVE,
            running=report.running,
            waiting=report.waiting,
            kv_pieces_used=report.kv_pieces_used,
            kv_pieces=report.kv_pieces,
            prefill_tokens_waiting=report.prefill_tokens_waiting,
            sampled_at=now - report.sampled_ms_ago / MS_PER_S,
        )
        return LoadReport(report.instance, report.version, load)

    async def cache_events(
        self,
        engine: Engine,
        after: int,
    ) -> CacheEventBatch:
        """Return the cache events after a sequence number.

        Raises:
            TargetError: If there is no valid response in time.
        """
        url = f'http://{engine.address}/cache-events?after={after}&wait_ms=0'
        try:
            page = _CacheEventPage.model_validate_json(await self._get(url))
        except pydantic.ValidationError as error:
            raise TargetError('malformed cache events') from error
        return CacheEventBatch(tuple(map(_cache_event, page.events)), page.next)

    async def order(
        self,
        engine: Engine,
        order_id: str,
        epoch: int,
        command: EngineCommand,
    ) -> None:
        """Send an order to the engine.

        Raises:
            TargetRefusedError: If the engine did not accept it.
            TargetFailedError: If it is fenced by a higher epoch.
            TargetLostError: If its response was lost.
        """
        body = {
            'order_id': order_id,
            'epoch': epoch,
            'order': command_body(command),
        }
        response = await self._transport.send(
            'POST',
            f'http://{engine.address}/orders',
            body=json.dumps(body).encode(),
            headers={'Content-Type': 'application/json'},
            total_timeout_s=_CALL_TIMEOUT_S,
        )
        try:
            await raise_for_status(response)
        finally:
            response.release()

    async def _get(self, url: str) -> bytes:
        response = await self._transport.send(
            'GET',
            url,
            total_timeout_s=_CALL_TIMEOUT_S,
        )
        try:
            await raise_for_status(response)
            return await read_body(response)
        finally:
            response.release()


def command_body(command: EngineCommand) -> dict[str, str]:
    """Return an engine command as its JSON object."""
    match command:
        case SetRole(role=role):
            return {'kind': 'set-role', 'role': role.value}
        case LoadModel(model=model, version=version):
            return {'kind': 'load-model', 'model': model, 'version': version}
        case LoadAdapter(adapter=adapter, version=version):
            return {
                'kind': 'load-adapter',
                'adapter': adapter,
                'version': version,
            }
        case Drain():
            return {'kind': 'drain'}
        case Resume():
            return {'kind': 'resume'}


def _cache_event(row: _CacheEventRow) -> CacheEvent:
    if row.kind == 'stored':
        return PrefixStored(row.prefix)
    return PrefixEvicted(row.prefix)
