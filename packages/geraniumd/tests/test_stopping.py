"""A daemon that is stopping takes no request that it may have to cut."""

import pytest
from geranium_model import NotRun
from geraniumd.callers.incoming_requests import (
    IncomingRequest,
    IncomingRequestReader,
)
from geraniumd.process import GatewaySettings, Lifecycle

NOW = 1000.0


class FixedClock:
    def now(self) -> float:
        return NOW


@pytest.fixture
def lifecycle() -> Lifecycle:
    joined = Lifecycle()
    joined.join()
    return joined


@pytest.fixture
def reader(lifecycle) -> IncomingRequestReader:
    return IncomingRequestReader(GatewaySettings(), FixedClock(), lifecycle)


# Requests were taken that outlived the drain, which cut their connections.
@pytest.mark.parametrize('headers', [{}, {'Request-Deadline-Ms': '9000'}])
def test_request_that_may_outlive_the_drain_is_refused(
    reader, lifecycle, headers: dict[str, str]
) -> None:
    lifecycle.leave(NOW + 8)

    refusal = reader.read(headers)

    assert isinstance(refusal, NotRun)
    assert refusal.status == 503
    assert refusal.retry_after_s is not None


def test_request_that_ends_within_the_drain_is_taken(reader, lifecycle) -> None:
    lifecycle.leave(NOW + 8)

    taken = reader.read({'Request-Deadline-Ms': '7000'})

    assert isinstance(taken, IncomingRequest)


def test_request_of_any_length_is_taken_before(reader) -> None:
    taken = reader.read({'Request-Deadline-Ms': '600000'})

    assert isinstance(taken, IncomingRequest)
