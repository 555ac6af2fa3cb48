"""Request and response models of the platform API."""

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
        """Return the host with the name given in the path."""
        return Host(name, self.zone, self.kind, self.state)

    @classmethod
    def from_host(cls, host: Host) -> 'HostRow':
        """Return the row for a host."""
        return cls(
            host=host.name,
            zone=host.zone,
            kind=host.kind,
            state=host.state,
        )


class TargetRow(_Strict):
    """A row of the target list, or a standby target to register."""

    target: str = ''
    service: str
    zone: str
    address: str
    purchase: Purchase = Purchase.RESERVED
    state: TargetState | Literal['standby'] = TargetState.LIVE

    def build(self, name: str) -> Target:
        """Return the target with the name given in the path."""
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
        """Return the row for a target."""
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
        """Return the order without its id and epoch."""
        return TargetOrder(self.service, self.zone, self.purchase, self.count)


class UsageFigures(_Strict):
    """Usage of one team in a usage report."""

    prompt_tokens: pydantic.NonNegativeInt
    generated_tokens: pydantic.NonNegativeInt
    requests: pydantic.NonNegativeInt


class UsageReportDocument(_Strict):
    """Usage report for a time window."""

    report_id: str
    epoch: int
    figures: dict[str, UsageFigures]


class EvictionDocument(_Strict):
    """Request to evict targets of a zone."""

    zone: str
    purchase: Purchase = Purchase.SPOT
