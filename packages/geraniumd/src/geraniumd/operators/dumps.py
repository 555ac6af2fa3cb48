"""The state dump of a daemon, without secrets."""

import asyncio
import json
import sys
from typing import Any

from geranium_coordination import Admission, Fresh, Stale
from geranium_statements import Collection
from geranium_statements.responses import table_to_json

from ..state import Context
from .tables import LocalTables

_MS_PER_S = 1000

_COLLECTIONS = (
    Collection.HOSTS,
    Collection.PEERS,
    Collection.LEASES,
    Collection.TARGETS,
    Collection.ENGINES,
    Collection.REQUESTS,
)


class StateDump:
    """Builds the state dump of the process."""

    def __init__(self, context: Context, tables: LocalTables) -> None:
        self._context = context
        self._tables = tables

    def build(self) -> dict[str, Any]:
        """Return the state as a JSON value, described in ``docs/STATE.md``."""
        tables = {
            collection.value: table_to_json(self._tables.build(collection))
            for collection in _COLLECTIONS
        }
        return {
            'host': self._context.settings.host,
            'zone': self._context.settings.zone,
            'region': self._context.settings.region,
            'stage': self._context.lifecycle.stage.value,
            'configuration': self._configuration(),
            'suspicions': self._count_suspicions(),
            'usage': {
                team: {
                    'prompt_tokens': usage.prompt_tokens,
                    'generated_tokens': usage.generated_tokens,
                    'requests': usage.requests,
                }
                for team, usage in self._context.meter.usage_by_team.items()
            },
            'platform_calls': dict(self._context.platform.calls_by_kind),
            'tasks': sorted(task.get_name() for task in asyncio.all_tasks()),
            **tables,
        }

    def write(self) -> None:
        """Write the state to standard error as one line of JSON."""
        sys.stderr.write(f'{json.dumps({"state": self.build()})}\n')

    def _count_suspicions(self) -> int:
        now = self._context.clock.now()
        return len(self._context.suspects.notices(now))

    def _configuration(self) -> dict[str, Any]:
        now = self._context.clock.now()
        admission = self._context.follower.replica.admission(now)
        instant = _staleness_instant(admission)
        fresh_for_ms = None
        if instant is not None:
            fresh_for_ms = (instant - now) * _MS_PER_S
        return {
            'version': self._context.follower.replica.version,
            'fresh_for_ms': fresh_for_ms,
        }


def _staleness_instant(admission: Admission) -> float | None:
    """Return the instant at which the configuration becomes stale."""
    match admission:
        case Fresh(until=instant):
            return instant
        case Stale(since=since):
            return since
