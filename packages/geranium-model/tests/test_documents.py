"""Tests the validation of the configuration document as a whole."""

import pytest
from geranium_model import (
    DocumentError,
    ModelService,
    build_configuration,
    parse_document,
)

ZONE = {'name': 'khomas-a', 'region': 'khomas'}
SERVICE = {'kind': 'model', 'name': 'wording-llm', 'model': 'wording'}
ENGINE = {
    'kind': 'engine',
    'name': 'e-1',
    'service': 'wording-llm',
    'zone': 'khomas-a',
    'address': '127.0.0.1:9000',
}


def test_configuration_is_keyed_by_name():
    document = parse_document(
        {'zones': [ZONE], 'services': [SERVICE], 'targets': [ENGINE]},
    )
    configuration = build_configuration(document, version=4)
    assert configuration.version == 4
    assert isinstance(configuration.service('wording-llm'), ModelService)
    targets = configuration.targets_of('wording-llm')
    assert all(target.name for target in targets)
    assert targets


@pytest.mark.parametrize(
    ('document', 'complaint'),
    [
        ({'zones': [ZONE, ZONE]}, "zones[1]: 'khomas-a' stands twice"),
        (
            {'zones': [ZONE], 'targets': [ENGINE]},
            "targets[0].service: no model service 'wording-llm'",
        ),
        (
            {'services': [SERVICE], 'targets': [ENGINE]},
            "targets[0].zone: no zone 'khomas-a'",
        ),
        (
            {'keys': [{'key_id': 'k', 'team': 't', 'sha256': 'a' * 64}]},
            "keys[0].team: no team 't'",
        ),
    ],
)
def test_inconsistencies_are_reported_with_their_path(document, complaint):
    with pytest.raises(DocumentError) as raised:
        parse_document(document)
    assert raised.value.errors == (complaint,)


def test_malformed_field_is_reported_with_its_path():
    with pytest.raises(DocumentError) as raised:
        parse_document({'zones': [{'name': 'No Such', 'region': 'r'}]})
    assert raised.value.errors[0].startswith('zones[0].name: ')
