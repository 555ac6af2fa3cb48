"""The page of settings is current and says what each setting means."""

import pathlib

from geraniumd.process.settings_meanings import MEANINGS
from geraniumd.process.settings_page import render_page, setting_paths

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'SETTINGS.md'


def test_page_is_current():
    assert PAGE.read_text() == render_page()


def test_every_setting_has_a_meaning_and_the_reverse():
    assert sorted(setting_paths()) == sorted(MEANINGS)
