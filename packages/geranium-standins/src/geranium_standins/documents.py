"""Border models of the platform's interfaces."""

from typing import Literal

import pydantic
from geranium_model import (
    Host,
    HostKind,
    HostState,
    Purchase,
    Target,
    TargetOrder,
    TargetState,
)

STANDBY: Literal['standby'] = 'standby'


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class HostRow(_Strict):
    """A row of the host list."""

    host: str = ''
    zone: str
    kind: HostKind
    state: HostState = HostState.LIVE

    def build(self, name: str) -> Host:
        """Return the host under the name of its path."""
        return Host(name, self.zone, self.kind, self.state)

    @classmethod
    def from_host(cls, host: Host) -> 'HostRow':
        """Return the row that shows the host."""
        return cls(
            host=host.name,
            zone=host.zone,
            kind=host.kind,
            state=host.state,
        )


class TargetRow(_Strict):
    """A row of the target list, or a standby target to be registered."""

    target: str = ''
    service: str
    zone: str
    address: str
    purchase: Purchase = Purchase.RESERVED
    state: TargetState | Literal['standby'] = TargetState.LIVE

    def build(self, name: str) -> Target:
        """Return the target under the name of its path."""
        state = TargetState.LIVE if self.state == STANDBY else self.state
        return Target(
            name,
            self.service,
            self.zone,
            self.address,
            self.purchase,
            state,
        )

    @classmethod
    def from_target(cls, target: Target) -> 'TargetRow':
        """Return the row that shows the target."""
        return cls(
            target=target.name,
            service=target.service,
            zone=target.zone,
            address=target.address,
            purchase=target.purchase,
            state=target.state,
        )


class TargetOrderDocument(_Strict):
    """An order for targets."""

    order_id: str
    epoch: int
    service: str
    zone: str
    purchase: Purchase
    count: pydantic.NonNegativeInt

    def build(self) -> TargetOrder:
        """Return the order proper."""
        return TargetOrder(self.service, self.zone, self.purchase, self.count)


class UsageFigures(_Strict):
    """A team's figures in a usage report."""

    prompt_tokens: pydantic.NonNegativeInt
    generated_tokens: pydantic.NonNegativeInt
    requests: pydantic.NonNegativeInt


class UsageReportDocument(_Strict):
    """A usage report of a window."""

    report_id: str
    epoch: int
    figures: dict[str, UsageFigures]


class EvictionDocument(_Strict):
    """An eviction of a zone's targets."""

    zone: str
    purchase: Purchase = Purchase.SPOT
