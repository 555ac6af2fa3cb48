"""Streams that break off while engines have two versions of a model."""

import json

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_standins.managed_process import wait_until

from .world import has_version

pytestmark = pytest.mark.asyncio(loop_scope='module')

CUT_AFTER_TOKENS = 5
MAX_TOKENS = 8
CHATS = 6


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    """Run two engines with two versions, which cut their streams."""
    settings = DeploymentSettings(engines=2, daemons=1, targets=1)
    async with Deployment(settings) as running:
        load = 'load model model version 2 on engine engine-2'
        await running.operator.execute(load)
        await wait_until(lambda: has_version(running, 'engine-2', '2'))
        yield running


async def chat(
    deployment, url: str, number: int, headers: dict[str, str]
) -> str:
    """Return the text of a streamed chat, or its failure."""
    body = {
        'model': 'llm',
        'stream': True,
        'max_tokens': MAX_TOKENS,
        'messages': [{'role': 'user', 'content': f'Card number {number}'}],
    }
    async with deployment.http.post(url, json=body, headers=headers) as got:
        lines = (await got.read()).decode().splitlines()
    payloads = [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line.startswith('data: {')
    ]
    return ''.join(
        payload['choices'][0]['delta'].get('content', '')
        if payload.get('choices')
        else json.dumps(payload)
        for payload in payloads
    )


async def test_stream_is_resumed_only_at_its_models_version(deployment) -> None:
    secret = await deployment.operator.create_key('versions')
    engines = deployment.engines_by_name.values()
    texts_by_number = {
        number: [
            await chat(
                deployment,
                f'{engine.url}/v1/chat/completions',
                number,
                {'Request-Id': f'direct-{number}'},
            )
            for engine in engines
        ]
        for number in range(CHATS)
    }
    for engine in engines:
        await engine.put_faults(cut_after=CUT_AFTER_TOKENS)

    url = deployment.caller_url('host-1', '/v1/chat/completions')
    for number, texts in texts_by_number.items():
        assert texts[0] != texts[1]
        key = {'Authorization': f'Bearer {secret}'}
        assert await chat(deployment, url, number, key) in texts
