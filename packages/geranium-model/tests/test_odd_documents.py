"""Numbers that calls and calculations can't use are rejected."""

import copy
import math
from typing import Any

import pytest
from geranium_model import DocumentError, parse_document

DOCUMENT: dict[str, Any] = {
    'zones': [{'name': 'a', 'region': 'r'}],
    'services': [
        {
            'kind': 'model',
            'name': 's',
            'model': 'm',
            'first_token_ms': 500,
            'between_tokens_ms': 40,
        }
    ],
    'targets': [
        {
            'kind': 'engine',
            'name': 'e',
            'service': 's',
            'zone': 'a',
            'address': '127.0.0.1:9',
        }
    ],
    'teams': [{'name': 't', 'weight': 2}],
    'contracts': [
        {
            'service': 's',
            'zone': 'a',
            'committed': 1,
            'maximum': 2,
            'hourly_price': 1.5,
        }
    ],
}
NUMBERS = (
    'services.0.first_token_ms',
    'services.0.between_tokens_ms',
    'teams.0.weight',
    'contracts.0.maximum',
    'contracts.0.hourly_price',
)
ODD = (math.inf, math.nan, 1e300, int('9' * 400))


def changed(path: str, odd: Any) -> dict[str, Any]:
    """Return the document with another value at a path."""
    document = copy.deepcopy(DOCUMENT)
    part: Any = document
    *parents, last = path.split('.')
    for step in parents:
        part = part[int(step)] if step.isdecimal() else part[step]
    part[last] = odd
    return document


def test_ordinary_document_is_accepted() -> None:
    assert parse_document(DOCUMENT).teams[0].weight == 2


@pytest.mark.parametrize('odd', ODD)
@pytest.mark.parametrize('path', NUMBERS)
def test_number_out_of_range_is_rejected(path: str, odd: float) -> None:
    with pytest.raises(DocumentError, match=path.rpartition('.')[-1]):
        parse_document(changed(path, odd))


def test_weight_that_costs_overflow_is_rejected() -> None:
    with pytest.raises(DocumentError, match='weight'):
        parse_document(changed('teams.0.weight', 1e-320))


@pytest.mark.parametrize('port', ['0', '65536', '99999'])
def test_port_out_of_range_is_rejected(port: str) -> None:
    with pytest.raises(DocumentError, match='address'):
        parse_document(changed('targets.0.address', f'127.0.0.1:{port}'))
