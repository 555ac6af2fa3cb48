"""Validation of settings, and of the settings in the examples."""

import json
import pathlib

import pytest
from click.testing import CliRunner
from geranium_model import parse_document
from geraniumd import SettingsError, main, parse_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
SETTINGS = sorted(EXAMPLES.glob('*/hosts/*.json'))
VALID = {
    'host': 'khomas-a-1',
    'zone': 'khomas-a',
    'region': 'khomas',
    'platform': {'address': '10.41.0.10:7000'},
}


def test_example_deployments_have_all_hosts():
    hosts = [path.parent.parent.name for path in SETTINGS]
    assert hosts.count('utility') == 9
    assert hosts.count('pan-yard') == 8


@pytest.mark.parametrize('path', SETTINGS, ids=lambda path: path.stem)
def test_example_settings_are_valid(path):
    checked = CliRunner().invoke(main, ['--check-settings', str(path)])
    assert checked.exit_code == 0, checked.output


@pytest.mark.parametrize('name', ['utility', 'pan-yard'])
def test_example_configuration_is_complete(name):
    path = EXAMPLES / name / 'configuration.json'
    document = parse_document(json.loads(path.read_text()))
    assert len(document.teams) == 8
    assert len(document.zones) == 3


@pytest.mark.parametrize(
    ('change', 'complaint'),
    [
        ({'host': 'No Such'}, 'host: '),
        ({'platform': {}}, 'platform.address: '),
        ({'platform': {'address': 'nowhere'}}, 'platform.address: '),
        ({'gateway': {'max_body_bytes': 0}}, 'gateway.max_body_bytes: '),
        ({'gateway': {'unknown': 1}}, 'gateway.unknown: '),
        ({'shutdown': {'drain_s': -1}}, 'shutdown.drain_s: '),
    ],
)
def test_complaint_starts_with_field_path(change, complaint):
    with pytest.raises(SettingsError) as raised:
        parse_settings(json.dumps({**VALID, **change}))
    assert raised.value.complaints[0].startswith(complaint)


def test_invalid_settings_exit_with_error_code(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**VALID, 'zone': ''}))
    checked = CliRunner().invoke(main, ['--check-settings', str(path)])
    assert checked.exit_code == 2
    assert 'zone: ' in checked.output


def test_missing_secret_exits_with_error_code(tmp_path, monkeypatch):
    monkeypatch.delenv('GERANIUM_OPERATOR_TOKEN', raising=False)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(VALID))
    checked = CliRunner().invoke(main, [str(path)])
    assert checked.exit_code == 2
    assert 'operator_token_file' in checked.output
