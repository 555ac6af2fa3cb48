"""Statements that only read."""

import dataclasses
import enum
from typing import TypeAlias

from .conditions import ColumnName, Condition, Duration


class Collection(enum.Enum):
    """The collections that ``show`` lists."""

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
    """A column to sort by, ascending by default."""

    column: ColumnName
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Show:
    """``show COLLECTION [columns ...] [where ...] [order by ...] [limit N]``.

    Empty ``columns`` select all columns.
    """

    collection: Collection
    columns: tuple[ColumnName, ...] = ()
    where: Condition | None = None
    order_by: tuple[OrderBy, ...] = ()
    limit: int | None = None

    def per_host_query(self) -> 'Show':
        """Return the query that each host evaluates before a merge.

        It selects every column, because the merged rows are sorted again.
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
    """``explain request ID``: why the request was sent to its target."""

    request_id: str


Query: TypeAlias = Show | Watch | ExplainRequest
