"""Which hosts have which version of the configuration in force."""

import asyncio
import dataclasses
from collections.abc import Collection, Iterable

LISTED_HOSTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How far a version has got among the hosts."""

    version: int
    in_force: int
    waiting: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether the version is in force on every host."""
        return not self.waiting

    def __str__(self) -> str:
        """Return the progress as operators read it."""
        hosts = self.in_force + len(self.waiting)
        text = (
            f'accepted version {self.version}, '
            f'in force on {self.in_force} of {hosts}'
        )
        if self.complete:
            return text
        listed = ', '.join(self.waiting[:LISTED_HOSTS])
        unlisted = len(self.waiting) - LISTED_HOSTS
        rest = f' and {unlisted} more' if unlisted > 0 else ''
        return f'{text}; waiting for {listed}{rest}'


class Acknowledgements:
    """Collects the versions that hosts say they have in force."""

    def __init__(self) -> None:
        self._versions_by_host: dict[str, int] = {}
        self._recorded = asyncio.Event()

    def record(self, host: str, version: int) -> None:
        """Take note that a host has a version in force."""
        known = self._versions_by_host.get(host, 0)
        if version > known:
            self._versions_by_host[host] = version
            self._recorded.set()
            self._recorded = asyncio.Event()

    def retain(self, hosts: Collection[str]) -> None:
        """Forget hosts that are not members any more."""
        for host in tuple(self._versions_by_host):
            if host not in hosts:
                self._versions_by_host.pop(host)

    def progress(self, version: int, hosts: Iterable[str]) -> RolloutProgress:
        """Return how many of these hosts have the version in force."""
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
        """Return the progress once it is complete or the time is over."""
        members = tuple(hosts)
        try:
            async with asyncio.timeout(timeout_s):
                while not self.progress(version, members).complete:
                    await self._recorded.wait()
        except TimeoutError:
            return self.progress(version, members)
        return self.progress(version, members)
