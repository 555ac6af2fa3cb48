"""Changes of the settings file are applied while the process runs."""

import json

from geranium_platform import PlatformSettings
from geranium_platform.reloading import SettingsFile, SettingsWatch
from geranium_platform_standins import render_settings
from geranium_relay import DecisionLog, LogSettings

from .conftest import make_settings
from .waits import wait_for


class WatchHarness:
    """A settings watch with the settings and log lines it produced."""

    def __init__(self, path) -> None:
        self.path = path
        self.settings = make_settings(platform={'address': '127.0.0.1:1'})
        path.write_text(render_settings(self.settings))
        self.applied = []
        self._lines = []
        self.watch = SettingsWatch(
            SettingsFile(path, self.settings),
            self.applied.append,
            DecisionLog(LogSettings(), self._lines.append, float),
        )

    def rewrite(self, **bounds: object) -> PlatformSettings:
        changed = self.settings.model_copy(
            update={'bounds': self.settings.bounds.model_copy(update=bounds)},
        )
        self.path.write_text(render_settings(changed))
        return changed

    def only_event(self) -> dict[str, object]:
        assert len(self._lines) == 1
        return json.loads(self._lines[0])

    def check(self) -> None:
        self.watch._check()


def test_changed_bounds_are_applied_and_logged(tmp_path) -> None:
    harness = WatchHarness(tmp_path / 'local.toml')
    changed = harness.rewrite(revoke_ms=2000, lease_ms=4000)

    harness.check()
    harness.check()

    assert harness.applied == [changed]
    line = harness.only_event()
    assert line['event'] == 'settings_changed'
    assert line['applied'] == ['revoke_ms']
    assert line['at_next_start'] == ['lease_ms']


def test_invalid_file_changes_nothing_and_is_logged_once(tmp_path) -> None:
    harness = WatchHarness(tmp_path / 'local.toml')
    harness.path.write_text('nodeName = ')

    harness.check()
    harness.check()

    assert not harness.applied
    line = harness.only_event()
    assert line['event'] == 'settings_left_out'


async def test_host_applies_a_bound_without_a_signal(world) -> None:
    bounds = world.settings.bounds.model_copy(update={'revoke_ms': 0})
    changed = world.settings.model_copy(update={'bounds': bounds})
    world.path.write_text(render_settings(changed))

    async def is_unready() -> bool:
        return not world.host.is_ready()

    await wait_for(is_unready)
    response = await world.caller.post(
        world.url('/safe/x'),
        headers=world.headers(),
    )
    assert response.status == 503
