"""Regions' availability zones and the hosts in them."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone, which fails as a whole."""

    name: str
    region: str


class HostKind(enum.Enum):
    """What a host is there for."""

    ENTRY = 'entry'
    TARGET = 'target'


class HostState(enum.Enum):
    """What the platform's host list says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A row of the platform's lagging host list."""

    name: str
    zone: str
    kind: HostKind
    state: HostState
