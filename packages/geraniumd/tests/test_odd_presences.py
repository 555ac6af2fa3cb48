"""A presence with an unusable address ends no link but its own."""

from typing import Any

import pytest
from geraniumd.hosts import Identity, PeerLink, Presence
from geraniumd.process import PeerError, PeerSettings


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:99999', '127.0.0.1:', '', 'x', '\ud800:1', 'a\x00:1', ':-1'],
)
async def test_link_to_an_unusable_address_is_not_connected(
    address: str,
) -> None:
    telemetry: Any = None
    presence = Presence('h1', 'a', 'r', 'i', '', address, '')
    link = PeerLink(
        presence,
        Identity('h0', 'a', 'i0', b'secret'),
        PeerSettings(),
        telemetry,
    )

    with pytest.raises(PeerError):
        async with link.connect():
            pytest.fail('connected')
