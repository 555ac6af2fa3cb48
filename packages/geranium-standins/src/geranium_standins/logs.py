"""What a stand-in saw, for checks."""

import time
from typing import Any, TypeAlias

from aiohttp import web

from .settings import MS_PER_S

LogEntry: TypeAlias = dict[str, Any]


class Log:
    """Lists of entries in the order of their arrival.

    Each entry gets ``received_ms``, milliseconds on the machine's monotonic
    clock, so that entries of several processes on it can be compared.

    Args:
        sections: Names of the lists.
    """

    def __init__(self, *sections: str) -> None:
        self._entries_by_section: dict[str, list[LogEntry]] = {
            section: [] for section in sections
        }

    def add(self, section: str, entry: LogEntry) -> LogEntry:
        """Append an entry and return it, so that it can be completed."""
        entry['received_ms'] = monotonic_ms()
        self._entries_by_section[section].append(entry)
        return entry

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the route that shows the log."""
        return (web.get('/log', self._get),)

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self._entries_by_section)


def monotonic_ms() -> float:
    """Return milliseconds on the machine's monotonic clock."""
    return round(time.monotonic() * MS_PER_S, 3)
