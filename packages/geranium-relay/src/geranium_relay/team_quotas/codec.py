"""Encodes and decodes the messages of hosts and quota brokers."""

import dataclasses
import functools
import math
import pathlib
from typing import Any

import capnp
from geranium_policy.team_quotas import (
    Delegation,
    DelegationHeard,
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
)

MAX_DATAGRAM_BYTES = 1200


class MalformedQuotaMessageError(Exception):
    """A datagram that is not a message of a host or its quota broker."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDatagram:
    """A message and the process that sent it.

    Args:
        sender: Hash of the host's name.
        incarnation: The process.
        message: The message.
    """

    sender: int
    incarnation: int
    message: QuotaMessage


@functools.cache
def schema() -> Any:
    """Return the schema; it is loaded with the first message."""
    return capnp.load(str(pathlib.Path(__file__).with_name('quotas.capnp')))


def encode_datagram(datagram: QuotaDatagram) -> bytes:
    """Return the bytes of a datagram."""
    encoded: bytes = (
        schema()
        .Message.new_message(
            sender=datagram.sender,
            incarnation=datagram.incarnation,
            **_encode_message(datagram.message),
        )
        .to_bytes()
    )
    return encoded


def decode_datagram(encoded: bytes) -> QuotaDatagram:
    """Decode the bytes of a datagram.

    Raises:
        MalformedQuotaMessageError: If they are none, or of a later build.
    """
    if len(encoded) > MAX_DATAGRAM_BYTES:
        raise MalformedQuotaMessageError('too long')
    try:
        with schema().Message.from_bytes(
            encoded, traversal_limit_in_words=MAX_DATAGRAM_BYTES
        ) as message:
            return QuotaDatagram(
                message.sender, message.incarnation, _decode_message(message)
            )
    except (capnp.KjException, ValueError) as error:
        raise MalformedQuotaMessageError(str(error)) from error


def _encode_message(message: QuotaMessage) -> dict[str, object]:
    match message:
        case Delegation():
            fields: dict[str, object] = {
                'share': message.share,
                'brokerIncarnation': message.broker_incarnation,
                'brokerTimeS': message.broker_time_s,
            }
            return {'delegation': fields}
        case DelegationHeard():
            return {'heard': {'timeS': message.time_s}}
        case QuotaAsk():
            fields = {
                'number': message.number,
                'team': message.team,
                'costs': message.costs,
                'reserve': message.reserve,
            }
            return {'ask': fields}
        case QuotaAnswer():
            fields = {
                'number': message.number,
                'granted': message.granted,
                'fill': message.fill,
                'retryFromS': message.retry_from_s,
                'retryUntilS': message.retry_until_s,
            }
            return {'answer': fields}


def _decode_message(message: Any) -> QuotaMessage:
    match str(message.which()):
        case 'delegation':
            found = message.delegation
            share = _decode_number(found.share)
            if share > 1:
                raise ValueError('share above 1')
            time_s = _decode_number(found.brokerTimeS)
            return Delegation(share, found.brokerIncarnation, time_s)
        case 'heard':
            return DelegationHeard(_decode_number(message.heard.timeS))
        case 'ask':
            found = message.ask
            reserve = _decode_number(found.reserve)
            return QuotaAsk(
                found.number, found.team, tuple(found.costs), reserve
            )
        case _:
            return _decode_answer(message.answer)


def _decode_answer(answer: Any) -> QuotaAnswer:
    numbers = (
        answer.granted,
        answer.fill,
        answer.retryFromS,
        answer.retryUntilS,
    )
    return QuotaAnswer(answer.number, *map(_decode_number, numbers))


def _decode_number(number: float) -> float:
    if not math.isfinite(number) or number < 0:
        raise ValueError('no amount')
    return number
