"""End-to-end requests through separate processes."""

import json

import openai
import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment
from geranium_standins.managed_process import wait_until

LOOP = pytest.mark.asyncio(loop_scope='module')
pytestmark = LOOP

MESSAGES = [{'role': 'user', 'content': 'A card for Ndapewa and Tuli'}]


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment() as running:
        yield running


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def secret(deployment):
    return await deployment.operator.create_key('k-1')


def client(deployment, secret, host='host-1'):
    return openai.AsyncOpenAI(
        api_key=secret,
        base_url=deployment.caller_url(host, '/v1'),
        max_retries=0,
    )


async def post(deployment, path, secret=None, **options):
    headers = options.pop('headers', {})
    if secret:
        headers['Authorization'] = f'Bearer {secret}'
    async with deployment.http.post(
        deployment.caller_url('host-1', path),
        headers=headers,
        **options,
    ) as response:
        return response, await response.read()


async def test_streamed_and_buffered_chats_have_the_same_content(
    deployment, secret
):
    openai_client = client(deployment, secret, 'host-2')
    stream = await openai_client.chat.completions.create(
        model='llm', messages=MESSAGES, max_tokens=8, stream=True
    )
    parts = [
        chunk.choices[0].delta.content or ''
        async for chunk in stream
        if chunk.choices
    ]
    whole = await openai_client.chat.completions.create(
        model='llm', messages=MESSAGES, max_tokens=8
    )
    assert whole.choices[0].message.content == ''.join(parts)
    assert whole.usage.completion_tokens == 8


async def test_text_completion(deployment, secret):
    answer = await client(deployment, secret).completions.create(
        model='llm', prompt='Dear guests', max_tokens=3
    )
    assert len(answer.choices[0].text.split()) == 3


async def test_errors_map_to_the_client_librarys_exceptions(deployment, secret):
    with pytest.raises(openai.AuthenticationError) as wrong_key:
        await client(deployment, 'gk-wrong').chat.completions.create(
            model='llm', messages=MESSAGES
        )
    assert wrong_key.value.status_code == 401
    with pytest.raises(openai.NotFoundError):
        await client(deployment, secret).chat.completions.create(
            model='none', messages=MESSAGES
        )
    with pytest.raises(openai.BadRequestError):
        await client(deployment, secret).chat.completions.create(
            model='llm', messages=[]
        )


async def test_models_are_listed_for_the_key(deployment, secret):
    listed = await client(deployment, secret).models.list()
    assert [model.id for model in listed.data] == ['llm']


async def test_hosts_are_listed_with_the_callers_zone_first(deployment):
    url = deployment.caller_url('host-1', '/v1/hosts?zone=zone-c')

    async def all_listed():
        async with deployment.http.get(url) as response:
            listing = await response.json()
        return len(listing['hosts']) == 3 and (
            listing['hosts'][0]['zone'] == 'zone-c'
        )

    await wait_until(all_listed)


async def test_no_target_sees_the_key(deployment, secret):
    response, _ = await post(deployment, '/apps/app/orders', secret, data=b'x')
    assert response.status == 200
    for process in deployment.targets_by_name.values():
        log = await process.read_log()
        for execution in log['executions']:
            names = {name.lower() for name in execution['headers']}
            assert 'authorization' not in names
            assert execution['team'] == 'registry'


async def test_open_route_needs_no_key(deployment):
    url = deployment.caller_url('host-1', '/apps/app/public/hours')
    async with deployment.http.get(url) as response:
        assert response.status == 200


@pytest.mark.parametrize(
    ('path', 'key', 'body', 'status'),
    [
        (
            '/v1/chat/completions',
            'wrong',
            {'model': 'llm', 'messages': [{}]},
            401,
        ),
        ('/v1/chat/completions', None, {'model': 'llm', 'messages': [{}]}, 401),
        (
            '/v1/chat/completions',
            'right',
            {'model': 'none', 'messages': [{}]},
            404,
        ),
        (
            '/v1/chat/completions',
            'right',
            {'model': 'app', 'messages': [{}]},
            404,
        ),
        ('/v1/chat/completions', 'right', {'model': 'llm'}, 400),
        ('/v1/chat/completions', 'right', 'no json', 400),
        ('/apps/none/orders', 'right', {}, 404),
        ('/apps/none/orders', None, {}, 401),
        ('/apps/llm/orders', 'right', {}, 404),
        ('/nowhere', 'right', {}, 404),
    ],
)
async def test_refusals_say_not_run(
    deployment, secret, path, key, body, status
):
    keys = {'right': secret, 'wrong': 'gk-wrong', None: None}
    text = body if isinstance(body, str) else json.dumps(body)
    response, answer = await post(deployment, path, keys[key], data=text)
    problem = json.loads(answer)
    assert (response.status, problem['outcome']) == (status, 'not-run')
    assert response.content_type == 'application/problem+json'


async def test_oversized_body_is_refused(deployment, secret):
    body = b' ' * (4_194_304 + 1)
    response, _ = await post(deployment, '/apps/app/orders', secret, data=body)
    assert response.status == 413


async def test_inconsistent_configuration_is_rejected_completely(deployment):
    before = await deployment.operator.execute('show configuration')
    document = deployment.configuration_document()
    document['routes'].append({'name': 'bad', 'service': 'none'})
    with pytest.raises(Exception, match='400'):
        await deployment.operator.load_configuration(document)
    after = await deployment.operator.execute('show configuration')
    versions = [row[1] for row in after['rows']]
    assert versions == [row[1] for row in before['rows']]


async def test_statement_errors_report_line_and_column(deployment):
    url = deployment.operator_url('host-1', '/statements')
    async with deployment.http.post(
        url,
        json={'statement': 'show nothing'},
        headers={'Authorization': 'Bearer deployment-operator'},
    ) as response:
        problem = await response.json()
    assert response.status == 400
    assert (problem['line'], problem['column']) == (1, 6)


async def test_explain_lists_the_steps_of_a_request(deployment, secret):
    await post(
        deployment,
        '/v1/chat/completions',
        secret,
        json={'model': 'llm', 'messages': MESSAGES, 'max_tokens': 2},
        headers={'Request-Id': 'explained-1'},
    )
    answer = await deployment.operator.execute(
        'explain request explained-1', 'host-3'
    )
    steps = [row[-1] for row in answer['rows']]
    assert any(step.startswith('sent to engine-') for step in steps)
    assert steps[-1] == 'ended: completed'


async def executions(deployment, request_id):
    logs = [
        await process.read_log()
        for process in deployment.targets_by_name.values()
    ]
    return [
        execution
        for log in logs
        for execution in log['executions']
        if execution['request_id'].startswith(request_id)
    ]


async def test_order_sent_through_two_hosts_runs_once(deployment, secret):
    answers = []
    for host in ('host-1', 'host-2'):
        async with deployment.http.post(
            deployment.caller_url(host, '/apps/app/orders'),
            data=b'{"cards": 40}',
            headers={
                'Authorization': f'Bearer {secret}',
                'Idempotency-Key': 'order-40',
                'Request-Id': 'order-40',
            },
        ) as response:
            answers.append((response.status, await response.read()))
    assert answers[0][0] == 200
    assert answers[0] == answers[1]
    assert len(await executions(deployment, 'order-40')) == 1


async def test_idempotency_key_of_another_order_is_a_mismatch(
    deployment, secret
):
    statuses = []
    for body in (b'{"cards": 41}', b'{"cards": 42}'):
        headers = {'Idempotency-Key': 'order-41'}
        response, _ = await post(
            deployment, '/apps/app/orders', secret, data=body, headers=headers
        )
        statuses.append(response.status)
    assert statuses == [200, 422]
