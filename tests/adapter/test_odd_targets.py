"""Targets that can't be connected to end no task and no request."""

import math

import geranium_relay as relay
import pytest
from geranium_platform.documents import DocumentError, decode_target

from .conftest import target_entry
from .odd_hosts import HostParts, make_target

UNUSABLE_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '300.0.0.1:80',
    '0.0.0.0:80',
    ':80',
    '127.0.0.1:',
    '127.0.0.1:{port}'.format(port='9' * 5000),
    '127.0.0.1:\u0663',
    '127.0.0.1:+9',
)


@pytest.fixture
async def parts() -> HostParts:
    return HostParts()


@pytest.mark.parametrize('address', UNUSABLE_ADDRESSES)
def test_entry_with_an_unusable_address_is_left_out(address: str) -> None:
    with pytest.raises(DocumentError, match='address'):
        decode_target('t1', target_entry(address))


@pytest.mark.parametrize('address', UNUSABLE_ADDRESSES)
async def test_call_to_an_unusable_address_is_not_sent(
    parts: HostParts, address: str
) -> None:
    target = make_target(address=address)

    with pytest.raises(relay.NotSentError):
        await parts.calls.send(parts.call(target))
    with pytest.raises(relay.NotSentError):
        await parts.calls.read_prompt(parts.call(target))
    await parts.calls.drop_prompt(relay.CacheHandle(target, 'h', 1))
    assert not await parts.calls.is_reachable(target)
    assert 'prompt_not_freed' in parts.lines[0]
    await parts.calls.cleanup()


MANY_DIGITS = 400
LARGE_NUMBERS = (10**MANY_DIGITS, 1 << 64, 1 << 63)
ODD_NUMBERS = (*LARGE_NUMBERS, -1, math.inf, math.nan, True)


@pytest.mark.parametrize('odd', ODD_NUMBERS)
@pytest.mark.parametrize('field', ['slots', 'born', 'sequence'])
def test_entry_with_a_number_out_of_range_is_left_out(
    field: str, odd: float
) -> None:
    with pytest.raises(DocumentError, match=field):
        decode_target('t1', target_entry('127.0.0.1:9', **{field: odd}))


@pytest.mark.parametrize('odd', ODD_NUMBERS)
def test_entry_with_a_weights_version_out_of_range_is_left_out(
    odd: float,
) -> None:
    models = [{'name': 'm', 'version': odd}]

    with pytest.raises(DocumentError, match='models'):
        decode_target('t1', target_entry('127.0.0.1:9', models=models))


@pytest.mark.parametrize('odd', [math.inf, math.nan, 10**MANY_DIGITS])
def test_entry_without_a_finite_cold_time_is_left_out(odd: float) -> None:
    with pytest.raises(DocumentError, match='coldRemainingMs'):
        decode_target('t1', target_entry('127.0.0.1:9', coldRemainingMs=odd))


ODD_TEXTS = (
    'a\r\nb',
    'a\x00',
    '\ud800',
    '\u2028',
    'x' * 5000,
)


@pytest.mark.parametrize('odd', ODD_TEXTS)
@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
def test_entry_with_an_odd_text_is_left_out(field: str, odd: str) -> None:
    with pytest.raises(DocumentError, match=field):
        decode_target('t1', target_entry('127.0.0.1:9', **{field: odd}))


@pytest.mark.parametrize('odd', ODD_TEXTS)
def test_entry_with_an_odd_name_is_left_out(odd: str) -> None:
    with pytest.raises(DocumentError, match='name'):
        decode_target(odd, target_entry('127.0.0.1:9'))
