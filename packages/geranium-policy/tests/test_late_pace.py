"""Late work of all hosts together stays below what the fleet reads."""

from geranium_policy.late_pace import LatePace, LatePaceSettings

FLEET_TOKENS_PER_S = 600000
HOSTS = 8
PROMPT = 6000


def test_all_callers_come_back_to_all_hosts_at_once() -> None:
    """Eight hosts that know nothing of each other, with long queues each."""
    settings = LatePaceSettings()
    paces = [LatePace(settings, 0) for _ in range(HOSTS)]
    sent_tokens = 0
    for step in range(200):
        now = step / 100
        for pace in paces:
            if pace.is_open(now):
                sent_tokens += PROMPT
                pace.note(PROMPT, FLEET_TOKENS_PER_S, HOSTS, now)

    bound = settings.share * FLEET_TOKENS_PER_S * 2
    assert bound / 2 < sent_tokens <= bound + HOSTS * PROMPT


def test_new_host_waits_until_it_has_heard_of_others() -> None:
    pace = LatePace(LatePaceSettings(settle_s=1), 10)

    assert not pace.is_open(10.5)
    assert pace.is_open(11)


def test_single_late_request_of_a_calm_day_goes_at_once() -> None:
    pace = LatePace(LatePaceSettings(), 0)

    assert pace.is_open(60)
    pace.note(PROMPT, FLEET_TOKENS_PER_S, HOSTS, 60)
    assert not pace.is_open(60.1)
    assert pace.is_open(60.2)
