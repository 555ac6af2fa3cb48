"""A deployment answers every question that stands on the operators' pages."""

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


@pytest.mark.parametrize('page', ['STATEMENTS.md', 'OPERATIONS.md'])
async def test_questions_of_the_page_are_answered(deployment, page):
    asked = list(questions(page))
    assert len(asked) > 10
    for statement in asked:
        answer = await deployment.operator.execute(statement)
        assert answer['columns'], statement
