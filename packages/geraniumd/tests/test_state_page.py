"""The pages on state and metrics match the output of a running daemon."""

import hashlib
import json
import signal

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment
from geranium_standins.deployment_launch import PEER_SECRET
from geranium_standins.deployment_operator import OPERATOR_TOKEN
from geranium_standins.managed_process import wait_until

from .page_tables import names_in, read_rows

LOOP = pytest.mark.asyncio(loop_scope='module')
pytestmark = LOOP


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment() as running:
        yield running


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def secret(deployment):
    """Return a key's secret after a completion and an application call."""
    secret = await deployment.operator.create_key('k-1')
    headers = {'Authorization': f'Bearer {secret}'}
    for path, body in (
        ('/v1/completions', {'model': 'llm', 'prompt': 'a', 'max_tokens': 2}),
        ('/apps/app/orders', {'cards': 3}),
    ):
        async with deployment.http.post(
            deployment.caller_url('host-1', path),
            json=body,
            headers=headers,
            raise_for_status=True,
        ) as response:
            await response.read()
    return secret


async def read_json(deployment, path):
    async with deployment.http.get(
        deployment.operator_url('host-1', path),
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        raise_for_status=True,
    ) as response:
        return await response.json()


def field_paths(state):
    for field, entry in state.items():
        match entry:
            case {'columns': columns}:
                yield from (f'{field}.{column}' for column in columns)
            case {'registry': figures}:
                yield from (f'{field}.TEAM.{figure}' for figure in figures)
            case dict():
                yield from (f'{field}.{inner}' for inner in entry)
            case _:
                yield field


def listed_paths():
    return {row[0].strip('`') for row in read_rows('STATE.md')}


async def test_fields_of_the_state_and_of_the_page_are_equal(
    deployment, secret
):
    state = await read_json(deployment, '/state')
    assert set(field_paths(state)) == listed_paths()


async def test_signal_writes_the_same_fields(deployment, secret):
    process = deployment.daemons_by_host['host-1']
    process.send(signal.SIGUSR1)

    async def dumped():
        return any('state' in line for line in process.log())

    await wait_until(dumped)
    dumps = [line['state'] for line in process.log() if 'state' in line]
    assert set(field_paths(dumps[0])) == listed_paths()


@pytest.mark.parametrize('path', ['/state', '/metrics'])
async def test_output_contains_no_secrets(deployment, secret, path):
    text = json.dumps(await read_json(deployment, path))
    digest = hashlib.sha256(secret.encode()).hexdigest()
    for hidden in (secret, digest, OPERATOR_TOKEN, PEER_SECRET):
        assert hidden not in text


async def test_metrics_have_the_labels_of_the_page(deployment, secret):
    labels_by_name = {
        name.strip('`'): names_in(labels)
        for name, _, _, labels, _ in read_rows('METRICS.md')
    }
    readings = await read_json(deployment, '/metrics')
    seen = set()
    for resource in readings['resource_metrics']:
        for scope in resource['scope_metrics']:
            for metric in scope['metrics']:
                seen.add(metric['name'])
                for point in metric['data']['data_points']:
                    labels = set(point['attributes'])
                    assert labels == labels_by_name[metric['name']]
    assert 'geraniumdrum.request.time_to_first_token' in seen
    assert 'geraniumdrum.target.attempts' in seen
