"""Client of the operator HTTP interface."""

import dataclasses
import json
from http import HTTPStatus
from typing import Any

import aiohttp
import pydantic
from geranium_statements import Table
from geranium_statements.responses import error_from_json, table_from_json

from .exceptions import FailedAttempt, RefusedError, UnreachableError
from .settings import Settings

_STATEMENTS_PATH = '/operator/v1/statements'
_CONFIGURATION_PATH = '/operator/v1/configuration'
_STATE_PATH = '/operator/v1/state'
_NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    timeout_s: float
    body: Any = None
    operation_id: str = ''


class _Problem(pydantic.BaseModel):
    title: str = ''
    detail: str = ''
    line: int | None = None
    outcome: str = ''


class _NoResponseError(Exception):
    """A host gave no usable response."""

    def __init__(self, reason: str, maybe_sent: bool = True) -> None:
        super().__init__(reason)
        self.reason = reason
        self.maybe_sent = maybe_sent


class OperatorClient:
    """Sends statements to the first host that responds.

    Addresses are tried in turn, starting with the last one that responded. A
    retried statement keeps its operation id, so that the hosts apply it once.

    Args:
        settings: The addresses, the token and the timeout.
        session: The HTTP session, which the caller closes.
    """

    def __init__(
        self,
        settings: Settings,
        session: aiohttp.ClientSession,
    ) -> None:
        self._settings = settings
        self._addresses = list(settings.addresses)
        self._session = session
        self._headers = {
            'Authorization': f'Bearer {settings.token}',
            'Operator': settings.operator,
        }

    async def query(self, statement: str) -> Table:
        """Return the result of a read-only statement.

        Raises:
            StatementError: If the host reports a malformed statement.
            RefusedError: If the host rejects the request.
            UnreachableError: If no host responds.
        """
        body = {'statement': statement, 'operation_id': ''}
        timeout_s = self._settings.query_timeout_s
        call = _Call('POST', _STATEMENTS_PATH, timeout_s, body)
        return _parse_table(await self._send_to_any(call))

    async def change(self, statement: str, operation_id: str) -> Table:
        """Return the result of a statement with an effect.

        Raises:
            StatementError: If the host reports a malformed statement.
            RefusedError: If the host rejects the request.
            UnreachableError: If no host responds.
        """
        body = {'statement': statement, 'operation_id': operation_id}
        timeout_s = self._settings.timeout_s
        call = _Call('POST', _STATEMENTS_PATH, timeout_s, body, operation_id)
        return _parse_table(await self._send_to_any(call))

    async def put_configuration(
        self, document: Any, operation_id: str
    ) -> Table:
        """Replace the whole configuration and return the result.

        Raises:
            RefusedError: If the host rejects the request.
            UnreachableError: If no host responds.
        """
        call = _Call(
            'PUT',
            _CONFIGURATION_PATH,
            self._settings.timeout_s,
            document,
            operation_id,
        )
        return _parse_table(await self._send_to_any(call))

    async def read_state(self) -> Any:
        """Return the state dump of the first host that responds.

        Raises:
            RefusedError: If the host rejects the request.
            UnreachableError: If no host responds.
        """
        timeout_s = self._settings.query_timeout_s
        return await self._send_to_any(_Call('GET', _STATE_PATH, timeout_s))

    async def _send_to_any(self, call: _Call) -> Any:
        attempts = []
        for address in tuple(self._addresses):
            try:
                response_body = await self._send_to(address, call)
            except _NoResponseError as error:
                attempts.append(
                    FailedAttempt(address, error.reason, error.maybe_sent),
                )
                continue
            self._addresses.remove(address)
            self._addresses.insert(0, address)
            return response_body
        raise UnreachableError(tuple(attempts))

    async def _send_to(self, address: str, call: _Call) -> Any:
        try:
            return await self._send(address, call)
        except aiohttp.ClientConnectorError as error:
            reason = f'no connection: {error.strerror}'
            raise _NoResponseError(reason, maybe_sent=False) from error
        except TimeoutError as error:
            raise _NoResponseError('no response within the timeout') from error
        except aiohttp.ClientError as error:
            raise _NoResponseError(f'connection lost: {error}') from error

    async def _send(self, address: str, call: _Call) -> Any:
        url = address if '://' in address else f'http://{address}'
        async with self._session.request(
            call.method,
            f'{url}{call.path}',
            json=call.body,
            headers={**self._headers, 'Operation-Id': call.operation_id},
            timeout=aiohttp.ClientTimeout(total=call.timeout_s),
        ) as response:
            return _parse_response(response.status, await response.read())


def _parse_response(status: int, body: bytes) -> Any:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise _NoResponseError(f'response {status} is not JSON') from error
    if status < HTTPStatus.BAD_REQUEST:
        return document
    problem = _parse_problem(document)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise _NoResponseError(
            f'answered {status}: {_problem_text(problem)}',
            maybe_sent=problem.outcome != _NOT_RUN,
        )
    if problem.line is not None:
        raise error_from_json(document)
    title = problem.title or HTTPStatus(status).phrase
    raise RefusedError(status, title, problem.detail)


def _parse_problem(document: Any) -> _Problem:
    try:
        return _Problem.model_validate(document)
    except pydantic.ValidationError:
        return _Problem()


def _problem_text(problem: _Problem) -> str:
    return problem.detail or problem.title or 'no reason given'


def _parse_table(document: Any) -> Table:
    try:
        return table_from_json(document)
    except pydantic.ValidationError as error:
        attempt = FailedAttempt(
            'the response', f'is not a table: {error}', maybe_sent=True
        )
        raise UnreachableError((attempt,)) from error
