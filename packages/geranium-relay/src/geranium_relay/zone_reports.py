"""Reports in which an aggregator passes on what the hosts of its zone sent."""

import contextlib
import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from .load_tracker import RANKS, TargetLoad
from .messages import PeerIdentity
from .peer_identities import decode_identity

MS_IN_S = 1000
_READY = 1
_LEAVING = 2
_MAX_UINT32 = 0xFFFFFFFF
_MAX_RUNNING = 0xFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """The state of a host at the time of its last update.

    Args:
        host: Hash of its name.
        age_s: Time since its last update.
        ready: Whether it accepted callers.
        leaving: Whether it was about to stop.
        unreached: Hashes of the services of which it reached no target.
    """

    host: int
    age_s: float
    ready: bool
    leaving: bool
    unreached: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """What an aggregator knows of hosts and of their loads.

    Targets and hosts are given by the hashes of their names.

    Args:
        hosts: The other hosts of the aggregator's zone; for its own zone, at
            times also those of other zones.
        loads_by_host: For its own zone, the loads of that zone's hosts.
        loads_sum: For its own zone, the sum of the loads of all other zones;
            for another zone, that of the aggregator's zone.
        new_hosts: Hosts that have appeared recently.
    """

    hosts: tuple[HostReport, ...]
    loads_by_host: Mapping[int, Mapping[int, TargetLoad]]
    loads_sum: Mapping[int, TargetLoad]
    new_hosts: tuple[PeerIdentity, ...] = ()

    def aged(self, waited_s: float) -> 'ZoneReport':
        """Return the report as it is to be sent after it has waited."""
        hosts = tuple(
            dataclasses.replace(reported, age_s=reported.age_s + waited_s)
            for reported in self.hosts
        )
        return dataclasses.replace(self, hosts=hosts)


def encode_report(report: ZoneReport) -> dict[str, Any]:
    """Return a report as the struct of the Cap'n Proto schema."""
    place_by_host = {
        reported.host: place for place, reported in enumerate(report.hosts)
    }
    loads = [
        (place_by_host[host], target, load)
        for host, load_by_target in report.loads_by_host.items()
        for target, load in load_by_target.items()
        if host in place_by_host
    ]
    return {
        'hosts': [reported.host for reported in report.hosts],
        'ageMs': [bounded_ms(reported.age_s) for reported in report.hosts],
        'flags': [_encode_flags(reported) for reported in report.hosts],
        **_encode_unreached(report.hosts),
        'loadHosts': [place for place, _, _ in loads],
        'hostLoads': _encode_loads((target, load) for _, target, load in loads),
        'sum': _encode_loads(report.loads_sum.items()),
        'newHosts': [
            dataclasses.asdict(identity) for identity in report.new_hosts
        ],
    }


def bounded_running(load: TargetLoad) -> int:
    """Return the running requests of a load as they fit an update."""
    return min(load.running, _MAX_RUNNING)


def bounded_tokens(load: TargetLoad) -> list[int]:
    """Return the tokens of a load by rank as they fit an update."""
    return [min(int(tokens), _MAX_UINT32) for tokens in load.tokens_by_rank]


def decode_report(message: Any) -> ZoneReport | None:
    """Decode a report; return ``None`` if the update has none.

    Raises:
        ValueError: If the parallel lists differ in length.
    """
    names = tuple(message.hosts)
    if not names:
        return None
    ages = tuple(message.ageMs)
    unreached_by_host = _decode_unreached(message, names)
    hosts = tuple(
        HostReport(
            host,
            age_ms / MS_IN_S,
            bool(flags & _READY),
            bool(flags & _LEAVING),
            tuple(unreached_by_host.get(host, ())),
        )
        for host, age_ms, flags in zip(
            names, ages, tuple(message.flags), strict=True
        )
    )
    return ZoneReport(
        hosts,
        _decode_host_loads(message, names),
        dict(_decode_loads(message.sum)),
        tuple(_decode_new_hosts(message.newHosts)),
    )


def _decode_new_hosts(listed: Iterable[Any]) -> Iterator[PeerIdentity]:
    """Decode new hosts, without those that can't be reached."""
    for identity in listed:
        with contextlib.suppress(ValueError):
            yield decode_identity(identity)


def _encode_unreached(hosts: Sequence[HostReport]) -> dict[str, list[int]]:
    unreached = [
        (place, service)
        for place, reported in enumerate(hosts)
        for service in reported.unreached
    ]
    return {
        'unreachedHosts': [place for place, _ in unreached],
        'unreachedServices': [service for _, service in unreached],
    }


def _decode_unreached(
    message: Any, names: Sequence[int]
) -> dict[int, list[int]]:
    unreached_by_host: dict[int, list[int]] = {}
    for place, service in zip(
        tuple(message.unreachedHosts),
        tuple(message.unreachedServices),
        strict=True,
    ):
        if place >= len(names):
            raise ValueError(f'no host {place}')
        unreached_by_host.setdefault(names[place], []).append(service)
    return unreached_by_host


def _decode_host_loads(
    message: Any, names: Sequence[int]
) -> dict[int, dict[int, TargetLoad]]:
    loads_by_host: dict[int, dict[int, TargetLoad]] = {}
    places = tuple(message.loadHosts)
    loads = _decode_loads(message.hostLoads)
    for place, (target, load) in zip(places, loads, strict=True):
        if place >= len(names):
            raise ValueError(f'no host {place}')
        loads_by_host.setdefault(names[place], {})[target] = load
    return loads_by_host


def _encode_loads(
    loads: Iterable[tuple[int, TargetLoad]],
) -> dict[str, list[int]]:
    listed = tuple(loads)
    return {
        'targets': [target for target, _ in listed],
        'running': [bounded_running(load) for _, load in listed],
        'tokens': [
            tokens for _, load in listed for tokens in bounded_tokens(load)
        ],
    }


def _decode_loads(table: Any) -> Iterator[tuple[int, TargetLoad]]:
    tokens = iter(map(float, table.tokens))
    for target, running in zip(
        tuple(table.targets), tuple(table.running), strict=True
    ):
        tokens_by_rank = tuple(itertools.islice(tokens, RANKS))
        if len(tokens_by_rank) < RANKS:
            raise ValueError('a load has too few ranks')
        yield target, TargetLoad(running, tokens_by_rank)


def _encode_flags(reported: HostReport) -> int:
    return _READY * reported.ready + _LEAVING * reported.leaving


def bounded_ms(age_s: float) -> int:
    """Return an age in milliseconds that fits its field of an update."""
    return int(min(max(age_s, 0) * MS_IN_S, _MAX_UINT32))
