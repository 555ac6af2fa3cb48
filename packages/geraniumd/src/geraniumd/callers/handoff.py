"""Prefills a prompt on one engine and moves its KV cache to another."""

import dataclasses
import json

import pydantic
from geranium_coordination import Clock
from geranium_model import Engine
from geranium_policy import RequestProfile

from ..backends import TargetTransport, raise_for_status, read_body
from ..process import TargetError, get_logger
from ..state import EngineEntry, Fleet
from .calls import CompletionCall

PREFILL_TIMEOUT_S = 10
IMPORT_TIMEOUT_S = 5

_JSON = 'application/json'


class _Prefilled(pydantic.BaseModel):
    kv: str


class KvHandoff:
    """Transfers KV caches of prompts from prefill to decode engines."""

    def __init__(
        self,
        transport: TargetTransport,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._fleet = fleet
        self._clock = clock
        self._log = get_logger()

    def is_possible(self, source: Engine, destination: EngineEntry) -> bool:
        """Return whether both engines have the same version of their model.

        A KV cache of another version makes no sense to the destination.
        """
        entry = self._fleet.entries_by_name.get(source.name)
        if not isinstance(entry, EngineEntry):
            return False
        return entry.version == destination.version

    async def transfer(
        self,
        call: CompletionCall,
        profile: RequestProfile,
        source: Engine,
        destination: Engine,
    ) -> bool:
        """Transfer the prompt's KV cache; return whether that succeeded.

        If not, the destination prefills the prompt itself.
        """
        entry = self._fleet.entries_by_name.get(source.name)
        if not isinstance(entry, EngineEntry):
            return False
        reading = dataclasses.replace(profile, expected_tokens=0)
        entry.view.record_dispatch(reading, self._clock.now())
        try:
            kv_name = await self._prefill(call, source)
            await self._import(call, source, destination, kv_name)
        except (TargetError, pydantic.ValidationError) as error:
            self._log.warning(
                'kv_not_handed_over',
                request_id=call.incoming.request_id,
                source=source.name,
                destination=destination.name,
                error=str(error),
            )
            return False
        finally:
            entry.view.record_end(profile.request_id, self._clock.now())
        return True

    async def _prefill(self, call: CompletionCall, source: Engine) -> str:
        text = await self._post(
            f'http://{source.address}/kv/prefill',
            call.body,
            PREFILL_TIMEOUT_S,
            call.incoming.execution_id,
        )
        return _Prefilled.model_validate_json(text).kv

    async def _import(
        self,
        call: CompletionCall,
        source: Engine,
        destination: Engine,
        kv_name: str,
    ) -> None:
        body = {
            'source': source.address,
            'kv': kv_name,
            'request_id': call.incoming.execution_id,
        }
        await self._post(
            f'http://{destination.address}/kv/import',
            json.dumps(body).encode(),
            IMPORT_TIMEOUT_S,
            call.incoming.execution_id,
        )

    async def _post(
        self,
        url: str,
        body: bytes,
        timeout_s: float,
        execution_id: str,
    ) -> bytes:
        response = await self._transport.send(
            'POST',
            url,
            body=body,
            headers={'Content-Type': _JSON, 'Request-Id': execution_id},
            total_timeout_s=timeout_s,
        )
        try:
            await raise_for_status(response)
            return await read_body(response)
        finally:
            response.release()
