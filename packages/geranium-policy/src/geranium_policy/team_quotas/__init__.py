"""Limits on what teams may have run, of all hosts together.

Each host has an equal share of each limit and delegates its shares to one
host, the *quota broker*. The others ask the broker for tokens before they
send. No share is at two brokers at the same time, so a network partition
divides a limit instead of doubling it. ``docs/design/team-quotas.md`` has
the reasons.
"""

from .account import Debit, QuotaAccount
from .asking import Decision, OverLimit, TeamAsks
from .broker import QuotaBroker
from .bucket import QuotaBucket
from .delegations import Delegations
from .limits import QuotaLimit, QuotaSettings
from .member import HostName, QuotaMember
from .messages import (
    Delegation,
    DelegationHeard,
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
)

__all__ = [
    'Debit',
    'Decision',
    'Delegation',
    'DelegationHeard',
    'Delegations',
    'HostName',
    'OverLimit',
    'QuotaAccount',
    'QuotaAnswer',
    'QuotaAsk',
    'QuotaBroker',
    'QuotaBucket',
    'QuotaLimit',
    'QuotaMember',
    'QuotaMessage',
    'QuotaSettings',
    'TeamAsks',
]
