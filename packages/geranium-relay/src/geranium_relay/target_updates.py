"""Encodes and decodes target changes in peer updates."""

from collections.abc import Iterable, Iterator
from typing import Any

from .targets import Stage, Target, TargetChange

_NO_VERSION = -1
_NO_STAGE = ''
_STAGES = frozenset((_NO_STAGE, *(stage.value for stage in Stage)))


def encode_changes(changes: Iterable[TargetChange]) -> list[dict[str, Any]]:
    """Return changes as the list of the Cap'n Proto schema."""
    return [_encode(change) for change in changes]


def decode_changes(listed: Iterable[Any]) -> Iterator[TargetChange]:
    """Decode the changes of a message.

    Those with a stage that this build does not know are left out. The list
    then differs from the sender's, so this host reads it from the store.
    """
    for change in listed:
        if change.gone:
            yield TargetChange(change.identity, None)
        elif change.stage in _STAGES:
            yield TargetChange(change.identity, _decode_target(change))


def _encode(change: TargetChange) -> dict[str, Any]:
    target = change.target
    if target is None:
        return {'identity': change.identity, 'gone': True}
    version = target.weights_version
    return {
        'identity': change.identity,
        'bornMs': target.born_ms,
        'service': target.service,
        'address': target.address,
        'zone': target.zone,
        'slots': target.slots,
        'leaving': target.leaving,
        'reclaimable': target.reclaimable,
        'stage': target.stage.value if target.stage else _NO_STAGE,
        'weightsVersion': _NO_VERSION if version is None else version,
        'softwareVersion': target.software_version,
    }


def _decode_target(change: Any) -> Target:
    version = change.weightsVersion
    return Target(
        identity=change.identity,
        born_ms=change.bornMs,
        service=change.service,
        address=change.address,
        zone=change.zone,
        slots=change.slots,
        leaving=change.leaving,
        reclaimable=change.reclaimable,
        stage=Stage(change.stage) if change.stage else None,
        weights_version=None if version == _NO_VERSION else version,
        software_version=change.softwareVersion,
    )
