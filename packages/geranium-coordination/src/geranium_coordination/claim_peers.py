"""Interface of the claim journal to the other hosts."""

from typing import Protocol

from .claim_buckets import ClaimOperation
from .claim_outcomes import ClaimOutcome


class ClaimPeers(Protocol):
    """The other hosts, as the claim journal uses them.

    The daemon implements it.
    """

    def is_gone(self, holder: str) -> bool:
        """Return whether a holder can no longer be running calls."""
        ...

    def owner_of(self, bucket: int) -> str | None:
        """Return the host that writes a bucket, ``None`` for this one.

        Hosts may disagree on the owner; the only cost is conflicting writes.
        """
        ...

    async def forward(
        self,
        owner: str,
        operation: ClaimOperation,
    ) -> ClaimOutcome | None:
        """Return the result of ``execute`` of the owner's journal.

        Raises:
            OSError: If the owner was not reached or did not respond. This
                includes ``TimeoutError``.
        """
        ...
