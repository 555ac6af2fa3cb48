"""Retries of all hosts together stay within the shared budget."""

from geranium_policy.retry_share import (
    RetryKind,
    RetryPermit,
    RetryShare,
    RetryShareSettings,
)

SETTINGS = RetryShareSettings(ratio=0.2, allowance=56, window_s=10)
HOSTS = 8


def take(share: RetryShare, now: float) -> RetryPermit:
    permit = share.take(RetryKind.RUN, 1, now)
    assert permit is not None
    return permit


def test_all_hosts_together_stay_within_the_budget() -> None:
    """All targets fail and every host retries as often as allowed."""
    shares = [RetryShare(SETTINGS) for _ in range(HOSTS)]
    taken = []
    sent = 0
    for step in range(400):
        now = step * 0.05
        for share in shares:
            share.record_first(now)
            sent += 1
            permit = share.take(RetryKind.RUN, HOSTS, now)
            if permit is not None:
                share.use(permit, now)
                taken.append(now)

    for start in range(11):
        in_window = [at for at in taken if start <= at < start + 10]
        first_sends = HOSTS * 200
        assert len(in_window) <= 0.2 * first_sends + 56


def test_host_with_little_traffic_may_use_the_allowance() -> None:
    share = RetryShare(SETTINGS)
    share.record_first(0)

    assert share.take(RetryKind.RUN, HOSTS, 0.1)


def test_retries_are_allowed_again_after_the_window() -> None:
    share = RetryShare(RetryShareSettings(0, 8, 10, used_share=1))
    for _ in range(8):
        share.use(take(share, 0), 0)

    assert not share.take(RetryKind.RUN, 1, 9.9)
    assert share.take(RetryKind.RUN, 1, 10.1)


def test_refunded_retry_can_be_taken_again() -> None:
    share = RetryShare(RetryShareSettings(0, 1, 10, used_share=1))
    permit = take(share, 0)
    assert not share.take(RetryKind.RUN, 1, 0)
    share.refund(permit)
    assert share.take(RetryKind.RUN, 1, 0)


def test_window_of_a_retry_begins_when_it_is_sent() -> None:
    """Retries that waited for a prefill arrive together with later ones."""
    share = RetryShare(RetryShareSettings(0, 1, 10, used_share=1))
    permit = take(share, 0)

    assert not share.take(RetryKind.RUN, 1, 10.1)
    share.use(permit, 12)
    assert not share.take(RetryKind.RUN, 1, 21.9)
    assert share.take(RetryKind.RUN, 1, 22.1)


def test_permit_that_was_not_used_is_returned() -> None:
    share = RetryShare(RetryShareSettings(0, 1, 10, used_share=1))
    permit = take(share, 0)
    share.discard(permit)

    used = take(share, 0)
    share.use(used, 0)
    share.discard(used)
    assert not share.take(RetryKind.RUN, 1, 0)


def test_first_sends_are_kept_for_one_window_only() -> None:
    share = RetryShare(RetryShareSettings(1, 0, 10, used_share=1))
    for second in range(100):
        share.record_first(second)

    assert share.state(1, 99).allowed_by_kind[RetryKind.RUN] == 11


def test_hosts_that_start_again_stay_within_the_budget() -> None:
    """All hosts are killed after they have used their shares."""
    shares = [RetryShare(SETTINGS) for _ in range(HOSTS)]
    sent_at = []
    for step in range(300):
        now = step * 0.1
        if step == 110:
            shares = [RetryShare(SETTINGS, now) for _ in range(HOSTS)]
        for share in shares:
            permit = share.take(RetryKind.RUN, HOSTS, now)
            if permit is not None:
                share.use(permit, now)
                sent_at.append(now)

    for start in range(20):
        in_window = [at for at in sent_at if start <= at < start + 10]
        assert len(in_window) <= SETTINGS.allowance
    assert max(sent_at) > 11


def test_prefill_calls_have_a_part_that_runs_leave() -> None:
    """Runs that targets refuse have used all that runs may use."""
    share = RetryShare(RetryShareSettings(0, 10, 10, 0.7, 0.9))
    for _ in range(7):
        share.use(take(share, 0), 0)

    assert not share.take(RetryKind.RUN, 1, 0)
    for _ in range(2):
        assert share.take(RetryKind.PREFILL, 1, 0)
    assert not share.take(RetryKind.PREFILL, 1, 0)


def test_permits_stay_counted_when_the_window_grows() -> None:
    """A window of 30 s that follows one of 10 s has its repeats, too."""
    share = RetryShare(RetryShareSettings(0, 10, 10))
    sent = 0
    for now in (0, 10.5, 21):
        while True:
            permit = share.take(RetryKind.RUN, 1, now)
            if permit is None:
                break
            share.use(permit, now)
            sent += 1
    share.settings = RetryShareSettings(0, 10, 30)

    assert share.state(1, 21.5).used == sent
