"""Opens answers: sends a call and waits for the head of its answer."""

import asyncio

from .attempts import Patience
from .call_errors import NotRunError, NotSentError, TargetSilentError
from .messages import TargetCall
from .ports import TargetResponse
from .run_context import RunContext


async def open_answer(
    context: RunContext,
    call: TargetCall,
    patience: Patience,
) -> TargetResponse:
    """Send a call and return its answer once the head is there.

    A prompt that was read for the call is freed if the target did not take
    it.

    Raises:
        RelayError: As told by :class:`TargetPort`.
    """
    try:
        async with asyncio.timeout(patience.first_s):
            return await context.targets.send(call)
    except TimeoutError:
        raise TargetSilentError('no answer') from None
    except (NotSentError, NotRunError):
        if call.fetch_from is not None:
            await context.targets.drop_prompt(call.fetch_from)
        raise
