"""Whether a broken connection shows that a target has crashed.

A host that loses its links to all targets sees the same as one under whose
requests targets crash: connections break and new ones fail. What tells them
apart is what is known of the target elsewhere.
"""

import dataclasses
import enum
from collections.abc import Collection


class TargetReach(enum.Enum):
    """What a host can say of a target that another one can't reach.

    ``UNKNOWN`` is the word of a host that reaches no target at all.
    """

    REACHED = 'reached'
    UNREACHED = 'unreached'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What is known of a target that this host can't reach any more.

    Args:
        is_listed: Whether the list still holds the same start of the target.
        own: What this host can say by its links to the other targets.
        peers: What other hosts have answered.
        has_peers: Whether there are other hosts.
    """

    is_listed: bool
    own: TargetReach
    peers: Collection[TargetReach]
    has_peers: bool

    @property
    def is_crash(self) -> bool:
        """Whether the target has crashed, as far as that can be known.

        A host that is alone takes what it sees for a crash: harmful requests
        must not cost it all its targets.
        """
        if TargetReach.REACHED in self.peers:
            return False
        if not self.is_listed or TargetReach.UNREACHED in self.peers:
            return True
        return self.own is TargetReach.UNREACHED or not self.has_peers
