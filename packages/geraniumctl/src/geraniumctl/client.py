"""Speaks the operators' HTTP interface."""

import dataclasses
import json
from http import HTTPStatus
from typing import Any

import aiohttp
import pydantic
from geranium_statements import Table
from geranium_statements.answers import error_from_json, table_from_json

from .exceptions import Attempt, RefusedError, UnreachableError
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


class _NoAnswerError(Exception):
    """One host gave no usable answer."""

    def __init__(self, reason: str, maybe_sent: bool = True) -> None:
        super().__init__(reason)
        self.reason = reason
        self.maybe_sent = maybe_sent


class OperatorClient:
    """Sends statements to whichever host answers.

    The addresses are tried in turn, beginning with the one that answered
    last. A statement that is sent again keeps its operation id, by which the
    hosts see to it that it has one effect.

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

    async def ask(self, query: str) -> Table:
        """Return the answer to a statement that changes nothing.

        Raises:
            StatementError: If the host finds the statement malformed.
            RefusedError: If the host refuses it.
            UnreachableError: If no host answers.
        """
        body = {'statement': query, 'operation_id': ''}
        timeout_s = self._settings.query_timeout_s
        call = _Call('POST', _STATEMENTS_PATH, timeout_s, body)
        return _parse_table(await self._exchange(call))

    async def change(self, statement: str, operation_id: str) -> Table:
        """Return the answer to a statement that changes something.

        Raises:
            StatementError: If the host finds the statement malformed.
            RefusedError: If the host refuses it.
            UnreachableError: If no host answers.
        """
        body = {'statement': statement, 'operation_id': operation_id}
        timeout_s = self._settings.timeout_s
        call = _Call('POST', _STATEMENTS_PATH, timeout_s, body, operation_id)
        return _parse_table(await self._exchange(call))

    async def put_configuration(
        self, document: Any, operation_id: str
    ) -> Table:
        """Replace the whole configuration and return the answer.

        Raises:
            RefusedError: If the host refuses it.
            UnreachableError: If no host answers.
        """
        call = _Call(
            'PUT',
            _CONFIGURATION_PATH,
            self._settings.timeout_s,
            document,
            operation_id,
        )
        return _parse_table(await self._exchange(call))

    async def read_state(self) -> Any:
        """Return the state dump of the first host that answers.

        Raises:
            RefusedError: If the host refuses it.
            UnreachableError: If no host answers.
        """
        timeout_s = self._settings.query_timeout_s
        return await self._exchange(_Call('GET', _STATE_PATH, timeout_s))

    async def _exchange(self, call: _Call) -> Any:
        attempts = []
        for address in tuple(self._addresses):
            try:
                answer = await self._ask(address, call)
            except _NoAnswerError as error:
                attempts.append(
                    Attempt(address, error.reason, error.maybe_sent),
                )
                continue
            self._addresses.remove(address)
            self._addresses.insert(0, address)
            return answer
        raise UnreachableError(tuple(attempts))

    async def _ask(self, address: str, call: _Call) -> Any:
        try:
            return await self._send(address, call)
        except aiohttp.ClientConnectorError as error:
            reason = f'no connection: {error.strerror}'
            raise _NoAnswerError(reason, maybe_sent=False) from error
        except TimeoutError as error:
            raise _NoAnswerError('no answer in time') from error
        except aiohttp.ClientError as error:
            raise _NoAnswerError(f'the connection broke: {error}') from error

    async def _send(self, address: str, call: _Call) -> Any:
        url = address if '://' in address else f'http://{address}'
        async with self._session.request(
            call.method,
            f'{url}{call.path}',
            json=call.body,
            headers={**self._headers, 'Operation-Id': call.operation_id},
            timeout=aiohttp.ClientTimeout(total=call.timeout_s),
        ) as response:
            return _parse_answer(response.status, await response.read())


def _parse_answer(status: int, body: bytes) -> Any:
    try:
        answer = json.loads(body)
    except ValueError as error:
        raise _NoAnswerError(f'answered {status} without JSON') from error
    if status < HTTPStatus.BAD_REQUEST:
        return answer
    problem = _parse_problem(answer)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise _NoAnswerError(
            f'answered {status}: {_wording_of(problem)}',
            maybe_sent=problem.outcome != _NOT_RUN,
        )
    if problem.line is not None:
        raise error_from_json(answer)
    title = problem.title or HTTPStatus(status).phrase
    raise RefusedError(status, title, problem.detail)


def _parse_problem(answer: Any) -> _Problem:
    try:
        return _Problem.model_validate(answer)
    except pydantic.ValidationError:
        return _Problem()


def _wording_of(problem: _Problem) -> str:
    return problem.detail or problem.title or 'no reason given'


def _parse_table(answer: Any) -> Table:
    try:
        return table_from_json(answer)
    except pydantic.ValidationError as error:
        attempt = Attempt(
            'the answer', f'is no table: {error}', maybe_sent=True
        )
        raise UnreachableError((attempt,)) from error
