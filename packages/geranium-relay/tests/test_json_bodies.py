"""Bodies are decoded although they contain values that can't be."""

import json
import math
from typing import Any

import pytest
from geranium_relay.json_bodies import MAX_DEPTH, Unreadable, decode_body

LEVELS = 200_000
DEEP = ''.join(('[' * LEVELS, ']' * LEVELS))
DEEP_TABLES = ''.join(('{"a":' * LEVELS, '1', '}' * LEVELS))
LONG_NUMBER = '1' * 5000


@pytest.mark.parametrize(
    'value',
    [
        DEEP,
        DEEP_TABLES,
        LONG_NUMBER,
        f'-{LONG_NUMBER}',
        'NaN',
        '-Infinity',
        '0x10',
        'none',
        '+1',
        '01',
    ],
)
def test_unreadable_value_hides_no_other(value: str) -> None:
    body = rf'{{"items": [{{"a": {value}, "b": 1}}, {{"a": "]}}\"["}}]}}'

    items = decode_body(body.encode())['items']

    assert items[1] == {'a': ']}"['}
    assert items[0]['b'] == 1
    assert _contains_unreadable(items[0]['a'])


@pytest.mark.parametrize(
    ('body', 'decoded'),
    [
        (b'{"a": "\xff"}', {'a': '\ufffd'}),
        (b'{"a": "%cud800"}' % 0x5C, {'a': '\ud800'}),
        (b'[1e999, -1e999]', [math.inf, -math.inf]),
        (b'{"a": 1, "a": 2}', {'a': 2}),
        (b'["\n", 01]', ['\n', Unreadable.VALUE]),
        (b'["", 01]', ['', Unreadable.VALUE]),
        (b'1' * 300, int('1' * 300)),
    ],
)
def test_unusual_body_is_decoded(body: bytes, decoded: object) -> None:
    assert decode_body(body) == decoded


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[1',
        b'[' * 300_000,
        b']' * 300_000,
        b'{"a":' * 300_000,
        rb'"\"' * 300_000,
        b'["a%b' % (rb'\"' * 300_000),
        b'{"items": [{"a": 1}, {"a" 2}]}',
    ],
)
def test_body_that_is_not_json_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError, match=r'char \d'):
        decode_body(body)


def test_depth_beside_an_unreadable_value_is_limited() -> None:
    levels = MAX_DEPTH - 1
    kept = '[' * levels + ']' * levels
    left_out = f'[{kept}]'

    decoded = decode_body(f'[{kept}, {left_out}, 01]'.encode())

    assert decoded[0] == json.loads(kept)
    assert _contains_unreadable(decoded[1])
    assert decoded[2] is Unreadable.VALUE


def _contains_unreadable(part: Any) -> bool:
    while isinstance(part, list | dict):
        part = part['a'] if isinstance(part, dict) else part[0]
    return part is Unreadable.VALUE
