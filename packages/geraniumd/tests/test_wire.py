"""Messages between daemons survive encoding and decoding."""

import pytest
from geranium_coordination import (
    FreshnessReport,
    HeldWithdrawal,
    PendingWithdrawal,
    UsageBatch,
)
from geranium_model import Usage
from geranium_policy import (
    ConsumptionReport,
    CrashNotice,
    InFlight,
    RoleDemand,
    TeamConsumption,
)
from geraniumd.hosts import decode, encode, messages
from geraniumd.process import FrameError

STORE_AGE_S = 0.0125
WITHDRAWAL_AGE_S = 0.5
PENDING = PendingWithdrawal('op-1', 7, ('a' * 64, 'b' * 64))

REPORT = ConsumptionReport(
    daemon='khomas-a-1',
    large_by_team={'registry': TeamConsumption(9000.5, 800, 100)},
    tail=TeamConsumption(70, 5, 1),
    tail_teams=4,
)

MESSAGES = (
    messages.Ping(),
    messages.Ping(
        dispatches=(messages.EngineDispatch('e-1', InFlight(3, 900, 60)),),
        consumption=(messages.ServiceConsumption('llm', REPORT),),
        demand=(messages.ServiceDemand('llm', RoleDemand(0.5, 2)),),
        crashes=(CrashNotice(2**63, 'e-1/77', 1.5, cleared=True),),
    ),
    messages.ConfigurationRequest(12),
    messages.ConfigurationUpdate(b'{"delta": 1}'),
    messages.Announcement(PENDING),
    messages.Acknowledgement(counts=True),
    messages.UsageReplica(
        (UsageBatch('khomas-a-1.77', 4, 9, {'registry': Usage(1, 2, 3)}),)
    ),
    messages.UsageRequest(9),
    messages.ClaimRequest(b'{"kind": "Claim"}'),
    messages.ClaimResponse(b''),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_message_round_trip(message):
    envelope = messages.Envelope(9, message)
    assert decode(encode(envelope)) == envelope


def test_decoded_ages_are_never_younger():
    report = FreshnessReport(
        'h',
        4,
        store_age_s=STORE_AGE_S,
        quorum_age_s=None,
        votes=True,
        withdrawals=(HeldWithdrawal(PENDING, WITHDRAWAL_AGE_S),),
    )
    sent = messages.Envelope(1, messages.Status(report, is_leaving=True))
    received = decode(encode(sent)).message
    assert isinstance(received, messages.Status)
    assert received.report.store_age_s >= STORE_AGE_S
    assert received.report.quorum_age_s is None
    assert received.report.withdrawals[0].age_s >= WITHDRAWAL_AGE_S
    assert received.report.withdrawals[0].pending == PENDING


def test_malformed_bytes_raise_frame_error():
    with pytest.raises(FrameError):
        decode(b'\x00' * 3)
