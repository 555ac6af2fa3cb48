"""The state dump of a daemon: what it knows and does, without secrets."""

import asyncio
import json
import sys
from typing import Any

from geranium_coordination import Clock, Fresh, Stale
from geranium_statements import Collection
from geranium_statements.answers import table_to_json

from .follower import ConfigurationFollower
from .platform import PlatformClient
from .settings import Settings
from .tables import LocalTables
from .usage import UsageMeter

_MS_PER_S = 1000

_COLLECTIONS = (
    Collection.HOSTS,
    Collection.PEERS,
    Collection.TARGETS,
    Collection.ENGINES,
    Collection.REQUESTS,
)


class StateDump:
    """Gathers the state of the process."""

    def __init__(
        self,
        settings: Settings,
        follower: ConfigurationFollower,
        tables: LocalTables,
        meter: UsageMeter,
        platform: PlatformClient,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._tables = tables
        self._meter = meter
        self._platform = platform
        self._clock = clock

    def build(self) -> dict[str, Any]:
        """Return the state as a JSON value; ``docs/STATE.md`` lists it."""
        tables = {
            collection.value: table_to_json(self._tables.build(collection))
            for collection in _COLLECTIONS
        }
        return {
            'host': self._settings.host,
            'zone': self._settings.zone,
            'region': self._settings.region,
            'configuration': self._configuration(),
            'usage': {
                team: {
                    'prompt_tokens': usage.prompt_tokens,
                    'generated_tokens': usage.generated_tokens,
                    'requests': usage.requests,
                }
                for team, usage in self._meter.usage_by_team.items()
            },
            'platform_calls': dict(self._platform.calls_by_kind),
            'tasks': sorted(task.get_name() for task in asyncio.all_tasks()),
            **tables,
        }

    def write(self) -> None:
        """Write the state to standard error as one line of JSON."""
        sys.stderr.write(f'{json.dumps({"state": self.build()})}\n')

    def _configuration(self) -> dict[str, Any]:
        now = self._clock.now()
        match self._follower.replica.admission(now):
            case Fresh(until=until):
                fresh_for_ms = (until - now) * _MS_PER_S
            case Stale(since=None):
                fresh_for_ms = None
            case Stale(since=since):
                fresh_for_ms = (since - now) * _MS_PER_S
        return {
            'version': self._follower.replica.version,
            'fresh_for_ms': fresh_for_ms,
        }
