"""Cap'n Proto encoding of the messages between daemons."""

import pathlib
from typing import Any

import capnp
from geranium_coordination import (
    FreshnessReport,
    HeldWithdrawal,
    PendingWithdrawal,
)

from ..process import FrameError
from .messages import (
    Acknowledgement,
    Announcement,
    ClaimRequest,
    ClaimResponse,
    ConfigurationRequest,
    ConfigurationUpdate,
    Envelope,
    Hello,
    Message,
    Ping,
    Status,
    UsageReplica,
    UsageRequest,
)
from .wire_ages import MS_PER_S, decode_age, encode_age
from .wire_ping import ping_fields, read_ping
from .wire_usage import batch_fields, read_batch

_schema = capnp.load(str(pathlib.Path(__file__).with_name('peers.capnp')))


def encode_hello(hello: Hello) -> bytes:
    """Encode a hello message."""
    return bytes(
        _schema.Hello.new_message(
            host=hello.host,
            zone=hello.zone,
            incarnation=hello.incarnation,
            nonce=hello.nonce,
            proof=hello.proof,
        ).to_bytes(),
    )


def decode_hello(data: bytes) -> Hello:
    """Decode a hello message.

    Raises:
        FrameError: If the data is malformed.
    """
    try:
        with _schema.Hello.from_bytes(data) as hello:
            return Hello(
                host=hello.host,
                zone=hello.zone,
                incarnation=hello.incarnation,
                nonce=bytes(hello.nonce),
                proof=bytes(hello.proof),
            )
    except (capnp.KjException, ValueError) as error:
        raise FrameError(str(error)) from error


def encode(envelope: Envelope) -> bytes:
    """Encode a message."""
    frame = _schema.Frame.new_message(
        id=envelope.number,
        **_frame_field(envelope.message),
    )
    return bytes(frame.to_bytes())


def decode(data: bytes) -> Envelope:
    """Decode a message.

    Raises:
        FrameError: If the data is malformed.
    """
    try:
        with _schema.Frame.from_bytes(data) as frame:
            return Envelope(frame.id, _read_message(frame))
    except (capnp.KjException, ValueError) as error:
        raise FrameError(str(error)) from error


def _frame_field(message: Message) -> dict[str, Any]:
    match message:
        case Ping():
            return {'ping': ping_fields(message)}
        case Status():
            return {'status': _status_fields(message)}
        case ConfigurationRequest():
            return {'configurationWanted': message.since_version}
        case ConfigurationUpdate():
            return {'configuration': message.encoded_delta}
        case Announcement():
            return {'announcement': _withdrawal_fields(message.pending, 0)}
        case Acknowledgement():
            return {'acknowledgement': message.counts}
        case _:
            return _usage_or_claim_field(message)


def _usage_or_claim_field(
    message: UsageReplica | UsageRequest | ClaimRequest | ClaimResponse,
) -> dict[str, Any]:
    match message:
        case UsageReplica(batches=batches):
            return {'usage': list(map(batch_fields, batches))}
        case UsageRequest(through_window=window):
            return {'usageWanted': window}
        case ClaimRequest(encoded_operation=encoded):
            return {'claim': encoded}
        case ClaimResponse(encoded_outcome=encoded):
            return {'claimAnswer': encoded}


def _read_message(frame: Any) -> Message:
    match str(frame.which()):
        case 'ping':
            return read_ping(frame.ping)
        case 'status':
            return _read_status(frame.status)
        case 'configurationWanted':
            return ConfigurationRequest(frame.configurationWanted)
        case 'configuration':
            return ConfigurationUpdate(bytes(frame.configuration))
        case 'announcement':
            return Announcement(_read_withdrawal(frame.announcement).pending)
        case 'acknowledgement':
            return Acknowledgement(frame.acknowledgement)
        case kind:
            return _read_usage_or_claim(frame, kind)


def _read_usage_or_claim(frame: Any, kind: str) -> Message:
    match kind:
        case 'usage':
            return UsageReplica(tuple(map(read_batch, frame.usage)))
        case 'usageWanted':
            return UsageRequest(frame.usageWanted)
        case 'claim':
            return ClaimRequest(bytes(frame.claim))
        case 'claimAnswer':
            return ClaimResponse(bytes(frame.claimAnswer))
    raise FrameError('message of unknown kind')


def _status_fields(status: Status) -> dict[str, Any]:
    report = status.report
    return {
        'host': report.host,
        'version': report.version,
        'storeAgeMs': encode_age(report.store_age_s),
        'quorumAgeMs': encode_age(report.quorum_age_s),
        'votes': report.votes,
        'leaving': status.is_leaving,
        'withdrawals': [
            _withdrawal_fields(held.pending, held.age_s)
            for held in report.withdrawals
        ],
    }


def _read_status(status: Any) -> Status:
    report = FreshnessReport(
        host=status.host,
        version=status.version,
        store_age_s=decode_age(status.storeAgeMs),
        quorum_age_s=decode_age(status.quorumAgeMs),
        votes=status.votes,
        withdrawals=tuple(
            _read_withdrawal(held) for held in status.withdrawals
        ),
    )
    return Status(report, status.leaving)


def _withdrawal_fields(
    pending: PendingWithdrawal,
    age_s: float,
) -> dict[str, Any]:
    return {
        'operationId': pending.operation_id,
        'baseVersion': pending.base_version,
        'keyDigests': list(pending.key_digests),
        'ageMs': encode_age(age_s),
    }


def _read_withdrawal(held: Any) -> HeldWithdrawal:
    pending = PendingWithdrawal(
        held.operationId,
        held.baseVersion,
        tuple(held.keyDigests),
    )
    return HeldWithdrawal(pending, held.ageMs / MS_PER_S)
