"""Sends a call and waits for the head of its response."""

import asyncio

from .attempts import ResponseTimeouts
from .call_errors import NotRunError, NotSentError, TargetSilentError
from .messages import TargetCall
from .ports import TargetResponse
from .run_context import RunContext


async def open_response(
    context: RunContext,
    call: TargetCall,
    timeouts: ResponseTimeouts,
) -> TargetResponse:
    """Send a call and return its response once the head has arrived.

    If the target does not accept the call, the prompt that was prefilled
    for it is freed.

    Raises:
        RelayError: See :class:`TargetPort`.
    """
    try:
        async with asyncio.timeout(timeouts.first_s):
            return await context.targets.send(call)
    except TimeoutError:
        raise TargetSilentError('no answer') from None
    except (NotSentError, NotRunError):
        if call.fetch_from is not None:
            await context.targets.drop_prompt(call.fetch_from)
        raise
