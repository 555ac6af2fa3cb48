"""Rollout progress is reported per host; watchers are few and stable."""

from geranium_coordination import Acknowledgements, select_watchers

HOSTS = [f'khomas-b-{number}' for number in range(1, 10)]


def test_progress_lists_the_missing_hosts():
    acknowledgements = Acknowledgements()
    for host in HOSTS:
        if host != 'khomas-b-2':
            acknowledgements.record(host, 7)
    acknowledgements.record('khomas-b-1', 6)
    assert str(acknowledgements.progress(7, HOSTS)) == (
        'accepted version 7, in force on 8 of 9; waiting for khomas-b-2'
    )


async def test_wait_returns_when_the_last_host_acknowledges():
    acknowledgements = Acknowledgements()
    acknowledgements.record('khomas-b-1', 3)
    progress = await acknowledgements.wait(3, ['khomas-b-1'], timeout_s=60)
    assert progress.complete
    late = await acknowledgements.wait(4, ['khomas-b-1'], timeout_s=0)
    assert late.waiting == ('khomas-b-1',)


def test_departed_hosts_are_removed():
    acknowledgements = Acknowledgements()
    acknowledgements.record('khomas-b-1', 3)
    acknowledgements.retain(['khomas-b-2'])
    assert acknowledgements.progress(3, ['khomas-b-1']).in_force == 0


def test_watchers_change_by_one_when_a_host_leaves():
    chosen = select_watchers(HOSTS, 2)
    assert len(chosen) == 2
    assert select_watchers(reversed(HOSTS), 2) == chosen
    rest = [host for host in HOSTS if host != chosen[0]]
    assert chosen[1] in select_watchers(rest, 2)
    assert select_watchers(HOSTS[:1], 2) == ('khomas-b-1',)
