"""The stages of an operator's order, so that it cuts no request.

A command that stops an engine's work for a while (a role change, a model
load) is preceded by a drain and followed by a resume. The journal tells
which stage was reached, so that any director can go on from there.
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
    """Return the order that is due, ``None`` while the engine is busy."""
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


def is_carried_out(
    intent: EngineIntent,
    record: JournalRecord | None,
) -> bool:
    """Tell whether the last stage of an order has ended."""
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
    """Tell whether a report from after the drain shows nothing running."""
    load = entry.view.load
    if load is None or load.accepting:
        return False
    return entry.view.sequences() == 0


def _drain_id(intent: EngineIntent) -> str:
    return f'{intent.order_id}-drain'


def _resume_id(intent: EngineIntent) -> str:
    return f'{intent.order_id}-resume'
