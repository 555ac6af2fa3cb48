"""Keeps the requests of teams within limits that all hosts share."""

from .codec import MalformedQuotaMessageError, QuotaDatagram
from .exchange import QuotaExchange
from .service import QuotaGrant, QuotaSources, TeamQuotas

__all__ = [
    'MalformedQuotaMessageError',
    'QuotaDatagram',
    'QuotaExchange',
    'QuotaGrant',
    'QuotaSources',
    'TeamQuotas',
]
