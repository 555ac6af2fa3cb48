"""In-memory log of a stand-in, for assertions."""

import time
from typing import Any, TypeAlias

from aiohttp import web

from .settings import MS_PER_S

LogEntry: TypeAlias = dict[str, Any]


class Log:
    """Entries by section, in insertion order.

    Each entry gets a ``received_ms`` timestamp in milliseconds of the
    machine's monotonic clock, which is comparable across processes.

    Args:
        sections: Names of the lists.
    """

    def __init__(self, *sections: str) -> None:
        self._entries_by_section: dict[str, list[LogEntry]] = {
            section: [] for section in sections
        }

    def add(self, section: str, entry: LogEntry) -> LogEntry:
        """Append an entry and return it for later completion."""
        entry['received_ms'] = monotonic_ms()
        self._entries_by_section[section].append(entry)
        return entry

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Return the route of the log."""
        return (web.get('/log', self._get),)

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self._entries_by_section)


def monotonic_ms() -> float:
    """Return milliseconds on the machine's monotonic clock."""
    return round(time.monotonic() * MS_PER_S, 3)
