"""Requests that leave the admission queue free their slot.

A caller may be cancelled between the admission of its request and its dispatch.
A slot that stays taken then reduces the capacity of the queue.
"""

import asyncio
import time

import pytest
from geranium_model import ModelService, NotRun, Usage
from geranium_policy import RequestProfile
from geraniumd.callers import Admitted, CompletionAdmission
from geraniumd.process import PlatformSettings, Secrets, Settings
from geraniumd.state import build_context

SERVICE = ModelService('llm', 'model', '1')


def make_admission():
    settings = Settings(
        host='h',
        zone='z',
        region='r',
        platform=PlatformSettings(address='127.0.0.1:1'),
    )
    secrets = Secrets(operator_token='t', peer_secret=b's')
    return CompletionAdmission(build_context(settings, secrets))


def profile(number, wait_s=30):
    return RequestProfile(
        request_id=f'r-{number}',
        team='registry',
        service='llm',
        priority=5,
        prompt_tokens=1000,
        expected_tokens=100,
        prefix_hashes=(),
        deadline=time.monotonic() + wait_s,
    )


async def fill(admission):
    """Admit requests until one is rejected; return the admitted profiles."""
    running = []
    while True:
        sent = profile(len(running), 0.2)
        result = await admission.admit(sent, SERVICE, '')
        if not isinstance(result, Admitted):
            return running
        running.append(sent)
        assert len(running) < 500


async def test_admitted_request_whose_caller_is_cancelled_frees_its_slot():
    admission = make_admission()
    running = await fill(admission)
    waiting = asyncio.create_task(
        admission.admit(profile('waits'), SERVICE, ''),
    )
    await asyncio.sleep(0)
    assert len(admission.queues_by_service['llm']) == 1
    admission.complete(running[0], SERVICE, Usage())  # admits the waiting one
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    result = await admission.admit(profile('last', 0.2), SERVICE, '')
    assert result == Admitted()


async def test_request_that_reaches_its_deadline_in_the_queue_is_not_run():
    admission = make_admission()
    await fill(admission)
    refused = await admission.admit(profile('late', 0.2), SERVICE, '')
    assert isinstance(refused, NotRun)
    assert not admission.queues_by_service['llm']
