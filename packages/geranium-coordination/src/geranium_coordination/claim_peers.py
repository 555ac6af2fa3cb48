"""What a claim journal needs of the other hosts; the daemon brings it."""

from typing import Protocol

from .claim_buckets import ClaimOperation
from .claim_outcomes import ClaimOutcome


class ClaimPeers(Protocol):
    """The other hosts, as far as claims concern them."""

    def is_gone(self, holder: str) -> bool:
        """Tell whether a holder can't be running calls any more."""
        ...

    def owner_of(self, bucket: int) -> str | None:
        """Return the host that writes a bucket, ``None`` for this one.

        Hosts may disagree about it: that costs conflicting writes only.
        """
        ...

    async def forward(
        self,
        owner: str,
        operation: ClaimOperation,
    ) -> ClaimOutcome | None:
        """Return what ``execute`` of the owner's journal returned.

        Raises:
            OSError: If the owner was not reached or did not answer;
                ``TimeoutError`` is one of these.
        """
        ...
