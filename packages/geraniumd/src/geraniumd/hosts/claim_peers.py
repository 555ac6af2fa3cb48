"""Hands claims to the host that writes their bucket."""

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
from .messages import ClaimAnswer, ClaimQuestion


class ClaimOwners:
    """The other hosts as the claim journal asks for them.

    A bucket's owner comes by rendezvous hashing over the hosts that this
    one has a link to. Hosts may disagree: that costs conflicts only.
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
        """Tell whether a holder can't be running calls any more."""
        return self._directory.is_gone(holder, own=self._holder)

    def owner_of(self, bucket: int) -> str | None:
        """Return the host that writes a bucket, ``None`` for this one."""
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
        """Return the owner's outcome.

        Raises:
            OSError: If the owner was not reached or did not answer.
        """
        link = self._links_by_host.get(owner)
        if link is None:
            raise ConnectionError(f'no link to {owner}')
        question = ClaimQuestion(encode_claim_message(operation))
        try:
            answer = await link.ask(question)
        except PeerError as error:
            raise ConnectionError(str(error)) from error
        return _decode(answer)


def _decode(answer: object) -> ClaimOutcome | None:
    if not isinstance(answer, ClaimAnswer):
        raise ConnectionError('no claim outcome in the answer')
    if not answer.encoded_outcome:
        return None
    try:
        outcome: ClaimOutcome = decode_claim_message(answer.encoded_outcome)
    except CorruptClaimsError as error:
        raise ConnectionError(str(error)) from error
    return outcome


def _weight(host: str, bucket: int) -> bytes:
    return hashlib.sha256(f'{host}\0{bucket}'.encode()).digest()
