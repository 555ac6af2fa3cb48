"""Odd rows and responses of the platform or of engines end no task."""

import json

import pytest
from geraniumd.platform import parse_hosts, parse_targets

ROW = {
    'target': 't1',
    'service': 's',
    'zone': 'a',
    'address': '127.0.0.1:9',
    'state': 'live',
}
HOST = {'host': 'h1', 'zone': 'a', 'kind': 'entry', 'state': 'live'}
DEEP = ''.join(('[' * 100_000, ']' * 100_000))
LONG_NUMBER = '9' * 5000
LONG_NAME = '{}:80'.format('x' * 70000)
ODD_ROWS = (
    'null',
    '3',
    '[]',
    '{}',
    DEEP,
    LONG_NUMBER,
    f'{{"target": {DEEP}}}',
    json.dumps({**ROW, 'address': '127.0.0.1:99999'}),
    json.dumps({**ROW, 'address': '127.0.0.1'}),
    json.dumps({**ROW, 'address': 'a b:80'}),
    json.dumps({**ROW, 'address': LONG_NAME}),
    json.dumps({**ROW, 'state': 'sleeping'}),
    json.dumps({**ROW, 'target': 'a\r\nb'}),
    json.dumps({**ROW, 'target': '\ud800'}),
    json.dumps({**ROW, 'zone': 'x' * 70000}),
    json.dumps({**ROW, 'service': None}),
)


@pytest.mark.parametrize('odd', ODD_ROWS)
def test_odd_target_hides_no_other(odd: str) -> None:
    text = f'{{"targets": [{odd}, {json.dumps(ROW)}]}}'

    assert [row.name for row in parse_targets(text.encode())] == ['t1']


@pytest.mark.parametrize(
    'odd',
    [
        *ODD_ROWS[:7],
        json.dumps({**HOST, 'state': 'sleeping'}),
        json.dumps({**HOST, 'kind': 3}),
        json.dumps({**HOST, 'host': 'x' * 70000}),
        json.dumps({**HOST, 'zone': '\ud800'}),
    ],
)
def test_odd_host_hides_no_other(odd: str) -> None:
    text = f'{{"hosts": [{odd}, {json.dumps(HOST)}]}}'

    assert [host.name for host in parse_hosts(text.encode())] == ['h1']
