"""A deployment executes every query on the operators' pages."""

import pathlib
import re

import pytest
import pytest_asyncio
from geranium_standins.deployment import Deployment, DeploymentSettings
from geranium_statements import split_script

pytestmark = pytest.mark.asyncio(loop_scope='module')

DOCS = pathlib.Path(__file__).parents[3] / 'docs'
BLOCK = re.compile(r'```statement\n(.*?)```', re.DOTALL)
QUESTIONS = ('show', 'explain', 'watch')


def questions(page):
    for block in BLOCK.findall((DOCS / page).read_text()):
        for statement in split_script(block):
            if statement.text.startswith(QUESTIONS):
                yield statement.text


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def deployment():
    async with Deployment(DeploymentSettings(daemons=2)) as running:
        yield running


async def test_limits_and_conditions_apply_across_all_hosts(deployment):
    peers = 'show peers columns host, peer'
    both = await deployment.operator.execute(f'{peers} order by host')
    assert both['rows'] == [['host-1', 'host-2'], ['host-2', 'host-1']]
    one = await deployment.operator.execute(f'{peers} order by host limit 1')
    assert one['rows'] == [['host-1', 'host-2']]
    other = await deployment.operator.execute(f'{peers} where host = host-2')
    assert other['rows'] == [['host-2', 'host-1']]


@pytest.mark.parametrize('page', ['STATEMENTS.md', 'OPERATIONS.md'])
async def test_queries_of_the_page_are_executed(deployment, page):
    asked = list(questions(page))
    assert len(asked) > 10
    for statement in asked:
        answer = await deployment.operator.execute(statement)
        assert answer['columns'], statement


async def test_host_is_stopped_by_a_statement_through_another(deployment):
    answer = await deployment.operator.execute('stop host host-2', 'host-1')
    assert answer['rows'] == [['host-2', 'leaving']]
    assert await deployment.daemons_by_host['host-2'].wait() == 0
