"""Tests commands that change the configuration document."""

import pytest
from geranium_model import (
    DocumentError,
    NameTakenError,
    UnknownNameError,
    key_digest,
    parse_document,
)
from geranium_statements import (
    NameInUseError,
    apply_command,
    parse_statement,
)

SCRIPT = (
    'create zone khomas-a in region khomas',
    'create service wording-llm model wording version 3 first-token 400ms',
    'create service orders-app application',
    'add engine e-1 for service wording-llm in zone khomas-a'
    ' at 127.0.0.1:9001 role decode purchase spot fencing ignored',
    'add target o-1 for service orders-app in zone khomas-a at [::1]:9002',
    'create team registry weight 2.5',
    'create key registry-1 for team registry',
    'set route proofs for service orders-app path /proofs'
    ' methods get open to all',
    'set contract for service wording-llm in zone khomas-a'
    ' purchase spot committed 1 maximum 3 price 0.4',
    'cordon zone khomas-a',
)
SECRET = 'gk-a-secret-of-the-test'


def _apply(document, text, secret=SECRET):
    return apply_command(parse_statement(text).command, document, secret)


@pytest.fixture(scope='module')
def document():
    built = parse_document({})
    for text in SCRIPT:
        built = _apply(built, text).document
    return built


def test_commands_build_every_section(document):
    assert document.model_dump(mode='json') == {
        'zones': [{'name': 'khomas-a', 'region': 'khomas'}],
        'services': [
            {
                'kind': 'model',
                'name': 'wording-llm',
                'model': 'wording',
                'version': '3',
                'first_token_ms': 400,
                'between_tokens_ms': 43,
            },
            {'kind': 'application', 'name': 'orders-app'},
        ],
        'targets': [
            {
                'kind': 'engine',
                'name': 'e-1',
                'service': 'wording-llm',
                'zone': 'khomas-a',
                'address': '127.0.0.1:9001',
                'role': 'decode',
                'honours_fencing': False,
                'purchase': 'spot',
            },
            {
                'kind': 'target',
                'name': 'o-1',
                'service': 'orders-app',
                'zone': 'khomas-a',
                'address': '[::1]:9002',
                'purchase': 'reserved',
            },
        ],
        'teams': [{'name': 'registry', 'weight': 2.5}],
        'keys': [
            {
                'key_id': 'registry-1',
                'team': 'registry',
                'sha256': key_digest(SECRET),
            },
        ],
        'routes': [
            {
                'name': 'proofs',
                'service': 'orders-app',
                'path': '/proofs',
                'methods': ['GET'],
                'repeatable': None,
                'open_to_all': True,
                'teams': [],
            },
        ],
        'contracts': [
            {
                'service': 'wording-llm',
                'zone': 'khomas-a',
                'purchase': 'spot',
                'committed': 1,
                'maximum': 3,
                'hourly_price': 0.4,
            },
        ],
        'cordoned_zones': ['khomas-a'],
    }


def test_commands_remove_every_entry(document):
    for text in (
        'uncordon zone khomas-a',
        'delete contract for service wording-llm in zone khomas-a'
        ' purchase spot',
        'delete route proofs',
        'withdraw key registry-1',
        'delete team registry',
        'remove target o-1',
        'remove engine e-1',
        'delete service orders-app',
        'delete service wording-llm',
        'delete zone khomas-a',
    ):
        document = _apply(document, text).document
    assert document == parse_document({})


def test_key_is_created_once_for_the_same_secret(document):
    text = 'create key registry-2 for team registry'
    first = _apply(document, text, secret=None)
    again = _apply(first.document, text, secret=first.secret)
    assert again == first
    assert first.secret not in first.document.model_dump_json()
    with pytest.raises(NameTakenError):
        _apply(first.document, text, secret='gk-another')


def test_key_with_a_digest_returns_no_secret(document):
    digest = key_digest('gk-made-by-the-operator')
    text = f'create key registry-2 for team registry sha256 {digest}'
    made = _apply(document, text)
    assert made.secret is None
    assert made.document.keys[-1].sha256 == digest
    assert _apply(made.document, text) == made


def test_set_commands_replace_or_change_entries(document):
    changed = _apply(document, 'set team registry weight 4').document
    changed = _apply(
        changed, 'set service wording-llm version 4 between-tokens 50ms'
    ).document
    changed = _apply(
        changed, 'set route proofs for service orders-app repeatable no'
    ).document
    changed = _apply(
        changed,
        'set contract for service wording-llm in zone khomas-a'
        ' purchase spot committed 2 maximum 3 price 0.5',
    ).document
    service = changed.services[0]
    assert changed.teams[0].weight == 4
    assert (service.version, service.first_token_ms) == ('4', 400)
    assert changed.routes[0].path == '/'
    assert changed.routes[0].repeatable is False
    assert [contract.committed for contract in changed.contracts] == [2]


def test_second_cordon_changes_nothing(document):
    assert _apply(document, 'cordon zone khomas-a').document == document


@pytest.mark.parametrize(
    ('text', 'error', 'message'),
    [
        ('create team registry', NameTakenError, "team named 'registry'"),
        ('create zone khomas-a in region r', NameTakenError, 'khomas-a'),
        ('set team nobody weight 3', UnknownNameError, "named 'nobody'"),
        ('withdraw key nobody', UnknownNameError, "named 'nobody'"),
        ('cordon zone nowhere', UnknownNameError, "named 'nowhere'"),
        ('create key k for team nobody', UnknownNameError, "'nobody'"),
        ('create key k for team registry', NameTakenError, 'digest'),
        ('set service orders-app version 2', UnknownNameError, 'model serv'),
        (
            'delete contract for service s in zone khomas-a purchase spot',
            UnknownNameError,
            'contract',
        ),
        ('delete team registry', NameInUseError, 'by key registry-1$'),
        (
            'delete service orders-app',
            NameInUseError,
            'by target o-1, route proofs$',
        ),
        (
            'delete zone khomas-a',
            NameInUseError,
            'target e-1, target o-1, contract wording-llm khomas-a, its cordon',
        ),
        ('create team Registry', DocumentError, '^name: String should match'),
        ('create team t weight 0', DocumentError, '^weight: Input'),
        (
            'create key k for team registry sha256 abc',
            DocumentError,
            '^sha256: String',
        ),
        (
            'add target t for service wording-llm in zone khomas-a at a:1',
            DocumentError,
            'no application service',
        ),
        (
            'set route r for service nothing',
            DocumentError,
            "no service 'nothing'",
        ),
        (
            'set route r for service orders-app teams nobody',
            DocumentError,
            "no team 'nobody'",
        ),
    ],
)
def test_invalid_command_is_rejected(document, text, error, message):
    with pytest.raises(error, match=message):
        _apply(document, text)
