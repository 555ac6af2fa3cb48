"""Tables of state stored in the platform: orders and usage windows."""

from geranium_coordination import JournalSettings, ObjectStore, StoreError
from geranium_coordination.orders import JournalRecord, parse_record
from geranium_coordination.usage_seals import SEAL_PREFIX, decode_seal
from geranium_statements import Collection, Row, Table, build_table

from ..duties import ENGINE_JOURNALS
from ..process import OperatorUnavailableError

STORED_COLLECTIONS = frozenset((Collection.ORDERS, Collection.WINDOWS))

_ORDER_COLUMNS = (
    'engine',
    'service',
    'order',
    'state',
    'number',
    'epoch',
    'sender',
    'command',
)
_WINDOW_COLUMNS = (
    'window',
    'team',
    'prompt_tokens',
    'generated_tokens',
    'requests',
)


class StoredTables:
    """Builds tables from the platform's current state."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def build(self, collection: Collection) -> Table:
        """Return the collection as currently stored in the platform.

        Raises:
            OperatorUnavailableError: If the platform is unreachable.
        """
        try:
            if collection is Collection.ORDERS:
                return await self._orders()
            return await self._windows()
        except StoreError as error:
            raise OperatorUnavailableError(str(error)) from error

    async def _orders(self) -> Table:
        root = JournalSettings().prefix
        prefix = f'{root}{ENGINE_JOURNALS}/'
        listing = await self._store.read_prefix(prefix)
        rows = [
            _order_row(found.key.removeprefix(prefix), parse_record(found))
            for found in listing
        ]
        return build_table(_ORDER_COLUMNS, rows)

    async def _windows(self) -> Table:
        listing = await self._store.read_prefix(SEAL_PREFIX)
        rows: list[Row] = []
        for found in listing:
            sealed = decode_seal(found.body)
            rows.extend(
                (
                    sealed.window,
                    team,
                    usage.prompt_tokens,
                    usage.generated_tokens,
                    usage.requests,
                )
                for team, usage in sealed.usage_by_team.items()
            )
        return build_table(_WINDOW_COLUMNS, rows)


def _order_row(subject: str, record: JournalRecord) -> Row:
    service, _, engine = subject.partition('/')
    identity: Row = (engine, service)
    order = record.order
    if order is None:
        unknown: Row = (None,) * (len(_ORDER_COLUMNS) - len(identity))
        return (*identity, *unknown)
    sender = order.sender
    progress: Row = (order.order_id, order.state.value, order.number)
    return (
        *identity,
        *progress,
        sender.epoch,
        sender.session,
        str(order.command),
    )
