"""Availability zones of a region, and the hosts in them."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone: hosts that can fail together."""

    name: str
    region: str


class HostKind(enum.Enum):
    """The purpose of a host."""

    ENTRY = 'entry'
    TARGET = 'target'


class HostState(enum.Enum):
    """The state of a host in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry of the platform's host list, which lags behind the hosts."""

    name: str
    zone: str
    kind: HostKind
    state: HostState
