"""Encodes and decodes target changes in peer updates."""

from collections.abc import Iterable, Iterator
from typing import Any

from .targets import Stage, Target, TargetChange

_NO_VERSION = -1


def encode_changes(changes: Iterable[TargetChange]) -> list[dict[str, Any]]:
    """Return changes as the list of the Cap'n Proto schema."""
    return [_encode(change) for change in changes]


def decode_changes(listed: Iterable[Any]) -> Iterator[TargetChange]:
    """Decode the changes of a message.

    Raises:
        ValueError: If a stage is unknown.
    """
    for change in listed:
        target = None if change.gone else _decode_target(change)
        yield TargetChange(change.identity, target)


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
        'stage': target.stage.value if target.stage else '',
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
