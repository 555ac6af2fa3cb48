"""Sends a call and waits for the head of its response."""

import asyncio

from .call_errors import NotRunError, NotSentError
from .messages import TargetCall
from .ports import TargetResponse
from .run_context import RunContext
from .silence import SilenceLimit


async def open_response(
    context: RunContext,
    call: TargetCall,
    limit: SilenceLimit,
) -> TargetResponse:
    """Send a call and return its response once the head has arrived.

    If the target does not accept the call, the prompt that was prefilled
    for it is freed.

    Raises:
        RelayError: See :class:`TargetPort`.
    """
    deadline = None
    if limit.timeouts.first_s is not None:
        now = asyncio.get_running_loop().time()
        deadline = now + limit.timeouts.first_s
    try:
        async with limit.until(deadline):
            return await context.targets.send(call)
    except (NotSentError, NotRunError):
        if call.fetch_from is not None:
            await context.targets.drop_prompt(call.fetch_from)
        raise
