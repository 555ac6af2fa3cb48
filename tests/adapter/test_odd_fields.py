"""Whatever an entry holds, it gives a target that can be used, or an error."""

import copy
import json
import string
from typing import Any

import geranium_relay as relay
import yarl
from geranium_platform.documents import DocumentError, decode_target
from geranium_relay.json_bodies import decode_body
from geranium_relay.peer_updates import decode_peer_update, encode_peer_update
from hypothesis import given, settings, strategies

from .conftest import target_entry
from .odd_hosts import PROFILE, HostParts

EXAMPLES = 800
ENTRY = target_entry(
    '127.0.0.1:9',
    stage='decode',
    models=[{'name': 'm', 'version': 3}],
    spot=False,
)
FIELDS = (*ENTRY, 'models.name', 'models.version', 'identity')
MANY_DIGITS = int('9' * 400)
EXTREMES = (
    -1,
    0,
    0x10000,
    0x80000000,
    0x100000000,
    0x8000000000000000,
    0x10000000000000000,
    1e308,
    MANY_DIGITS,
)
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.floats(),
    strategies.sampled_from(EXTREMES),
)
OCTETS = strategies.integers(-1, 300)
ADDRESSES = strategies.builds(
    '{}.{}.{}.{}:{}'.format,
    OCTETS,
    OCTETS,
    OCTETS,
    OCTETS,
    strategies.integers(-1, 70000),
)
TEXTS = strategies.one_of(
    strategies.text(),
    strategies.text(string.printable),
    strategies.sampled_from(['\ud800', 'a\r\nb', 'x' * 70000, 'draining']),
    ADDRESSES,
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


def changed(field: str, odd: Any) -> dict[str, Any]:
    """Return the entry with another value in a field."""
    entry = copy.deepcopy(ENTRY)
    name, _, inner = field.partition('.')
    if inner:
        entry[name][0][inner] = odd  # type: ignore[index]
    else:
        entry[name] = odd
    return entry


@given(strategies.sampled_from(FIELDS), VALUES)
@settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
def test_any_value_gives_a_usable_target_or_an_error(
    field: str, odd: Any
) -> None:
    identity = odd if field == 'identity' and isinstance(odd, str) else 't1'
    body = json.dumps(changed(field, odd)).encode()
    try:
        target = decode_target(identity, decode_body(body))
    except DocumentError:
        return
    check_usable(target)


def test_ordinary_entry_gives_a_usable_target() -> None:
    check_usable(decode_target('t1', ENTRY))


def check_usable(target: relay.Target) -> None:
    """Check that a host can select a target, call it and tell peers of it.

    Each target gets a host of its own: a host doesn't select a target that
    has announced its departure, whatever its entry says later.
    """
    parts = HostParts()
    state = parts.state
    state.handle_fleet_change(state.fleet.replace([target], parts.clock.now()))
    if target.service == 'app' and not target.leaving:
        check_selected(parts, target)
    url = yarl.URL(f'http://{target.address}/x', encoded=True)
    assert 0 < (url.explicit_port or 0) <= 65535
    assert (url.host or '').replace('.', '').isdecimal()
    headers = parts.calls._headers(parts.call(target))
    assert all(header.isprintable() for header in headers.values())
    change = relay.TargetChange(target.identity, target)
    assert decoded_by_peers(parts, change) == (change,)


def check_selected(parts: HostParts, target: relay.Target) -> None:
    """Check that a target can be selected for jobs with a prompt or without."""
    selector = parts.state.target_selector
    plain = selector.select_target(parts.job(None), frozenset())
    assert isinstance(plain, relay.target_selector.Placement)
    assert selector.target(plain.generator) == target
    selector.select_engines(parts.job(), PROFILE, frozenset())


def decoded_by_peers(
    parts: HostParts, change: relay.TargetChange
) -> tuple[relay.TargetChange, ...]:
    """Return the changes that peers read in an update with one."""
    state = parts.state
    update = relay.PeerUpdate(
        sender=state.peers.own,
        ready=True,
        leaving=False,
        unix_s=1,
        load_by_target={},
        dispatches=(),
        crashes=(),
        usage_by_window={},
        known=state.advertised_state(),
        target_changes=(change,),
    )
    datagram = encode_peer_update(update)
    assert len(datagram) < 65000
    return decode_peer_update(datagram).target_changes
