"""Opens calls to targets: prefills, sends, and waits for the head."""

import contextlib
import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import Self

from .attempt_selection import AttemptSelection
from .attempts import Attempt
from .call_errors import NotRunError, NotSentError
from .catalogue import Service
from .load_tracker import Dispatch
from .messages import CacheHandle, Job, TargetCall
from .outcomes import Refused
from .ports import TargetResponse
from .prefill_runner import PrefillRunner
from .request_recorder import RequestRecorder
from .response_forwarder import ResponseForwarder
from .run_context import RunContext
from .send_limit import SendLimit
from .sending import open_response
from .silence import SilenceLimit, silence_limit
from .stream_origins import StreamVersion


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call whose target has accepted it, until it is closed.

    Args:
        attempt: The attempt that it belongs to.
        dispatch: Its share of the target's load.
        response: The response, whose head has arrived.
        limit: How long the target may be silent.
        cleanup: Closes the connection and ends the share of the load.
    """

    attempt: Attempt
    dispatch: Dispatch
    response: TargetResponse
    limit: SilenceLimit
    cleanup: contextlib.ExitStack

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection, which stops a request that still runs."""
        self.cleanup.close()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestParts:
    """What the calls of one request share.

    Args:
        selection: Selects their targets.
        send_limit: Counts them.
        recorder: Records what becomes of them.
        version: The version at which the stream may go on.
        forwarder: Knows what the caller has received.
        avoid: Keys of the targets that have failed it.
        reconnect: Keys of the targets that get it on new connections only.
    """

    selection: AttemptSelection
    send_limit: SendLimit
    recorder: RequestRecorder
    version: StreamVersion
    forwarder: ResponseForwarder
    avoid: set[str]
    reconnect: set[str]


class CallOpener:
    """Opens the calls of one request.

    Args:
        job: The request.
        service: The service that runs it.
        context: The components of the host.
        prefill: Prefills its prompt.
        parts: What its calls share.
    """

    def __init__(
        self,
        job: Job,
        service: Service,
        context: RunContext,
        prefill: PrefillRunner,
        parts: RequestParts,
    ) -> None:
        self._job = job
        self._service = service
        self._context = context
        self._prefill = prefill
        self._parts = parts

    async def open(
        self,
        attempt: Attempt,
        limit_for: Callable[[Attempt], SilenceLimit],
        *,
        beside_another: bool = False,
    ) -> OpenCall | Refused:
        """Send the request and return the call once the head has arrived.

        Args:
            attempt: The attempt.
            limit_for: Returns how long the target of an attempt may be silent.
            beside_another: Whether another call of the request is open, so
                that this target may be silent without limit.

        Returns:
            The refusal if the request must not be sent any more.

        Raises:
            RelayError: See :class:`TargetPort`.
        """
        cache_handle = await self._prefill.read(self._job, attempt)
        refusal = self._parts.selection.refusal(attempt.started_at)
        if refusal is not None:
            await self._drop_prompt(cache_handle)
            return refusal
        selector = self._context.selector
        if not selector.accepts_requests(attempt.target, attempt.started_at):
            attempt = await self._reselect_target(attempt, cache_handle)
        dispatch = Dispatch(
            attempt.target.key,
            self._job.rank,
            0 if cache_handle else attempt.placement.fresh_tokens,
            self._context.clock(),
            attempt.placement.first_s,
            ahead_tokens=attempt.placement.queued_tokens,
        )
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._context.loads.counted(dispatch))
            self._parts.send_limit.record_run()
            limit = limit_for(attempt)
            response = await self._send(
                attempt,
                cache_handle,
                silence_limit(bool) if beside_another else limit,
            )
            stack.callback(response.close)
            return OpenCall(attempt, dispatch, response, limit, stack.pop_all())

    async def _send(
        self,
        attempt: Attempt,
        cache_handle: CacheHandle | None,
        limit: SilenceLimit,
    ) -> TargetResponse:
        call = TargetCall(
            self._job,
            attempt.target,
            self._job.deadline,
            cache_handle,
            self._parts.forwarder.resume_after,
            self._parts.send_limit.may_run_again(self._job.route),
            attempt.target.key in self._parts.reconnect,
        )
        try:
            return await open_response(self._context, call, limit)
        except NotSentError:
            self._parts.send_limit.runs -= 1
            raise
        except NotRunError:
            self._parts.send_limit.runs -= 1
            self._parts.recorder.record_refusal(attempt, cache_handle)
            raise

    async def _reselect_target(
        self,
        attempt: Attempt,
        cache_handle: CacheHandle | None,
    ) -> Attempt:
        """Replace a target that stopped accepting requests in the prefill.

        Raises:
            NotRunError: If no other target is available.
        """
        selected = None
        if self._service.engine is not None:
            failed = self._parts.avoid | {attempt.target.key}
            selected = self._context.selector.select_generator(
                self._job,
                self._service.engine,
                self._parts.version.excluded() | failed,
            )
        if selected is None:
            await self._drop_prompt(cache_handle)
            raise NotRunError('no target accepts the prefilled prompt')
        self._context.selector.record_dispatch(selected)
        return dataclasses.replace(attempt, target=selected)

    async def _drop_prompt(self, cache_handle: CacheHandle | None) -> None:
        if cache_handle is not None:
            await self._context.targets.drop_prompt(cache_handle)
