"""Tracks which configuration version is in force on each host."""

import asyncio
import dataclasses
from collections.abc import Collection, Iterable

MAX_LISTED_HOSTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Progress of the rollout of a configuration version to the hosts."""

    version: int
    in_force: int
    waiting: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether the version is in force on every host."""
        return not self.waiting

    def __str__(self) -> str:
        """Return a one-line summary for operators."""
        hosts = self.in_force + len(self.waiting)
        text = (
            f'accepted version {self.version}, '
            f'in force on {self.in_force} of {hosts}'
        )
        if self.complete:
            return text
        listed = ', '.join(self.waiting[:MAX_LISTED_HOSTS])
        unlisted = len(self.waiting) - MAX_LISTED_HOSTS
        rest = f' and {unlisted} more' if unlisted > 0 else ''
        return f'{text}; waiting for {listed}{rest}'


class Acknowledgements:
    """Tracks the highest version that each host reports as in force."""

    def __init__(self) -> None:
        self._versions_by_host: dict[str, int] = {}
        self._changed = asyncio.Event()

    def record(self, host: str, version: int) -> None:
        """Record that a version is in force on a host."""
        known = self._versions_by_host.get(host, 0)
        if version > known:
            self._versions_by_host[host] = version
            self._changed.set()
            self._changed = asyncio.Event()

    def retain(self, hosts: Collection[str]) -> None:
        """Remove hosts that are no longer members."""
        for host in tuple(self._versions_by_host):
            if host not in hosts:
                self._versions_by_host.pop(host)

    def progress(self, version: int, hosts: Iterable[str]) -> RolloutProgress:
        """Return the progress of a version on these hosts."""
        members = sorted(set(hosts))
        waiting = tuple(
            host
            for host in members
            if self._versions_by_host.get(host, 0) < version
        )
        return RolloutProgress(version, len(members) - len(waiting), waiting)

    async def wait(
        self,
        version: int,
        hosts: Iterable[str],
        timeout_s: float,
    ) -> RolloutProgress:
        """Wait until the rollout is complete or the timeout expires.

        Returns the progress at that time.
        """
        members = tuple(hosts)
        try:
            async with asyncio.timeout(timeout_s):
                while not self.progress(version, members).complete:
                    await self._changed.wait()
        except TimeoutError:
            return self.progress(version, members)
        return self.progress(version, members)
