"""Statements that ask and change nothing."""

import dataclasses
import enum
from typing import TypeAlias

from .conditions import ColumnName, Condition, Duration


class Collection(enum.Enum):
    """What ``show`` can list."""

    HOSTS = 'hosts'
    ZONES = 'zones'
    TARGETS = 'targets'
    ENGINES = 'engines'
    TEAMS = 'teams'
    KEYS = 'keys'
    SERVICES = 'services'
    ROUTES = 'routes'
    REQUESTS = 'requests'
    LEASES = 'leases'
    ORDERS = 'orders'
    WINDOWS = 'windows'
    CONTRACTS = 'contracts'
    PEERS = 'peers'
    CONFIGURATION = 'configuration'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderBy:
    """A column to sort by, ascending if not said otherwise."""

    column: ColumnName
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """``show COLLECTION [columns ...] [where ...] [order by ...] [limit N]``.

    ``columns`` is empty for all of them.
    """

    collection: Collection
    columns: tuple[ColumnName, ...] = ()
    where: Condition | None = None
    order_by: tuple[OrderBy, ...] = ()
    limit: int | None = None

    def host_part(self) -> 'Show':
        """Return the query that each host answers before a merge.

        It keeps every column, as the merged rows are sorted once more.
        """
        return dataclasses.replace(self, columns=())


DEFAULT_INTERVAL = Duration('2', 's')


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """``watch COLLECTION ... [every DURATION]``: a repeated ``show``."""

    show: Show
    interval: Duration = DEFAULT_INTERVAL


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """``explain request ID``: why it went where it went."""

    request_id: str


Query: TypeAlias = Show | Watch | ExplainRequest
