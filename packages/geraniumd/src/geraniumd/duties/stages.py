"""Stages of an operator's order, which keep it from interrupting requests.

A command that suspends an engine's work (a role change or a model load) runs
as three orders: drain, the command, resume. The journal records the last
stage, so that another director can continue from there.
"""

from geranium_coordination.orders import JournalRecord

from ..state import EngineEntry, EngineIntent
from .engine_orders import EngineOrder

KIND = 'kind'
RESUME = 'resume'

_DISRUPTIVE_KINDS = frozenset(('set-role', 'load-model'))


def next_order(
    intent: EngineIntent,
    entry: EngineEntry,
    record: JournalRecord | None,
) -> EngineOrder | None:
    """Return the order of the next stage.

    Returns ``None`` if all stages have ended or the engine is not idle yet.
    """
    if intent.command[KIND] not in _DISRUPTIVE_KINDS:
        return EngineOrder(entry.target, intent.order_id, intent.command)
    latest = _latest_id(record)
    if latest == _resume_id(intent):
        return None
    if latest == intent.order_id:
        return _resume(intent, entry)
    if latest != _drain_id(intent):
        return EngineOrder(entry.target, _drain_id(intent), {KIND: 'drain'})
    if not _is_idle(entry):
        return None
    return EngineOrder(entry.target, intent.order_id, intent.command)


def is_completed(
    intent: EngineIntent,
    record: JournalRecord | None,
) -> bool:
    """Return whether the last stage of an order has ended."""
    if record is None or record.unfinished is not None:
        return False
    last = intent.order_id
    if intent.command[KIND] in _DISRUPTIVE_KINDS:
        last = _resume_id(intent)
    return _latest_id(record) == last


def _resume(intent: EngineIntent, entry: EngineEntry) -> EngineOrder:
    return EngineOrder(entry.target, _resume_id(intent), {KIND: RESUME})


def _latest_id(record: JournalRecord | None) -> str:
    if record is None or record.order is None:
        return ''
    return record.order.order_id


def _is_idle(entry: EngineEntry) -> bool:
    """Return whether the load report shows a drained engine without work."""
    load = entry.view.load
    if load is None or load.accepting:
        return False
    return entry.view.sequences() == 0


def _drain_id(intent: EngineIntent) -> str:
    return f'{intent.order_id}-drain'


def _resume_id(intent: EngineIntent) -> str:
    return f'{intent.order_id}-resume'
