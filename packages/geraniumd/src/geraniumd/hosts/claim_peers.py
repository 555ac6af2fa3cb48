"""Forwards claim operations to the host that owns their bucket."""

import hashlib
from collections.abc import Mapping

from geranium_coordination import (
    ClaimOperation,
    ClaimOutcome,
    CorruptClaimsError,
    decode_claim_message,
    encode_claim_message,
)

from ..process import PeerError
from .directory import HostDirectory, holder_name
from .links import PeerLink
from .messages import ClaimRequest, ClaimResponse


class ClaimRouter:
    """Implements ``ClaimPeers`` over the peer links of this host.

    The owner of a bucket is selected by rendezvous hashing over the hosts
    that this host is connected to. Hosts may select different owners; the
    only effect is more write conflicts.
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        directory: HostDirectory,
        links_by_host: Mapping[str, PeerLink],
    ) -> None:
        self._host = host
        self._holder = holder_name(host, incarnation)
        self._directory = directory
        self._links_by_host = links_by_host

    def is_gone(self, holder: str) -> bool:
        """Return whether the holder can no longer be running calls."""
        return self._directory.is_gone(holder, local_holder=self._holder)

    def owner_of(self, bucket: int) -> str | None:
        """Return the host that owns a bucket, or ``None`` for this host."""
        hosts = [
            host
            for host, link in self._links_by_host.items()
            if link.is_connected
        ]
        owner = max(
            (self._host, *hosts),
            key=lambda host: _weight(host, bucket),
        )
        return None if owner == self._host else owner

    async def forward(
        self,
        owner: str,
        operation: ClaimOperation,
    ) -> ClaimOutcome | None:
        """Execute an operation on the owner and return its outcome.

        Raises:
            OSError: If the owner is unreachable or does not respond.
        """
        link = self._links_by_host.get(owner)
        if link is None:
            raise ConnectionError(f'no connection to {owner}')
        request = ClaimRequest(encode_claim_message(operation))
        try:
            response = await link.request(request)
        except PeerError as error:
            raise ConnectionError(str(error)) from error
        return _decode_outcome(response)


def _decode_outcome(response: object) -> ClaimOutcome | None:
    if not isinstance(response, ClaimResponse):
        raise ConnectionError('response is not a claim outcome')
    if not response.encoded_outcome:
        return None
    try:
        outcome: ClaimOutcome = decode_claim_message(response.encoded_outcome)
    except CorruptClaimsError as error:
        raise ConnectionError(str(error)) from error
    return outcome


def _weight(host: str, bucket: int) -> bytes:
    return hashlib.sha256(f'{host}\0{bucket}'.encode()).digest()
