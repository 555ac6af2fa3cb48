"""Checks that ``docs/SETTINGS.md`` is up to date and complete."""

import pathlib

from geraniumd.process.settings_meanings import MEANINGS
from geraniumd.process.settings_page import render_page, setting_paths

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'SETTINGS.md'


def test_page_is_up_to_date():
    assert PAGE.read_text() == render_page()


def test_exactly_the_settings_have_descriptions():
    assert sorted(setting_paths()) == sorted(MEANINGS)
