"""Tests the command line against fake hosts."""

import json
import shlex
import socket

import pytest
from geranium_model import key_digest

CONFIGURATION = {'zones': [{'name': 'khomas-a', 'region': 'khomas'}]}


@pytest.fixture
def dead_address():
    """Return an address on which no server listens."""
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        _, port = bound.getsockname()
        yield f'127.0.0.1:{port}'


async def test_table_and_notes_are_printed(invoke):
    result = await invoke('run', 'show engines')
    assert result.exit_code == 0
    lines = [line.split() for line in result.stdout.splitlines()]
    assert ['engine', 'role', 'waiting', 'accepting'] in lines
    assert ['e-[red]2', 'decode', '-', 'no'] in lines
    assert result.stderr == 'note: load reports lag\n'


async def test_json_output_is_the_table_and_ndjson_its_rows(invoke):
    query = 'show engines where role = prefill'
    whole = await invoke('run', '--output', 'json', query)
    assert json.loads(whole.stdout) == {
        'columns': ['engine', 'role', 'waiting', 'accepting'],
        'rows': [['e-1', 'prefill', 3, True]],
        'notes': ['load reports lag'],
        'missing_hosts': [],
    }
    lines = await invoke('--output', 'ndjson', 'run', f'{query}; {query}')
    row = {'engine': 'e-1', 'role': 'prefill', 'waiting': 3, 'accepting': True}
    assert [json.loads(line) for line in lines.stdout.splitlines()] == [
        row,
        row,
    ]


async def test_no_statement_is_sent_if_one_is_malformed(
    invoke,
    operator,
    tmp_path,
):
    script = tmp_path / 'script'
    script.write_text(
        'create zone a in region r # first\n  set role e-1 fast\n'
    )
    result = await invoke('run', '-f', str(script))
    assert result.exit_code == 2
    assert result.stderr.splitlines() == [
        '  set role e-1 fast',
        '               ^',
        "line 2, column 16: 'fast' does not fit here",
        'expected decode, mixed or prefill',
    ]
    assert not operator.received


async def test_error_of_the_host_is_shown_at_its_position(invoke):
    script = 'show engines; show engines where rolle = decode; show engines'
    result = await invoke('run', '--output', 'ndjson', script)
    assert result.exit_code == 2
    assert len(result.stdout.splitlines()) == 2
    caret = result.stderr.splitlines()[-3]
    assert caret.index('^') == script.index('rolle')
    assert "no column 'rolle'" in result.stderr


async def test_script_stops_at_a_rejected_statement(invoke, operator):
    result = await invoke(
        'run', 'create zone a in region r', 'delete zone b', 'show engines'
    )
    assert result.exit_code == 1
    assert "Conflict: no zone is named 'b'" in result.stderr
    assert len(operator.received) == 2


async def test_wrong_token_is_rejected(invoke):
    result = await invoke('run', 'show engines', GERANIUM_TOKEN='wrong')
    assert result.exit_code == 1
    assert result.stderr == 'Token not accepted\n'


async def test_token_file_overrides_the_environment(invoke, tmp_path):
    (tmp_path / 'token').write_text('wrong\n')
    path = str(tmp_path / 'token')
    result = await invoke('--token-file', path, 'run', 'show engines')
    assert result.exit_code == 1


async def test_addresses_are_tried_in_turn(
    invoke,
    operator,
    other_operator,
    dead_address,
):
    operator.is_unavailable = True
    result = await invoke(
        'run',
        'show engines',
        addresses=(dead_address, operator.address, other_operator.address),
    )
    assert result.exit_code == 0
    assert len(other_operator.received) == 1


async def test_lost_response_is_retried_at_the_next_host_with_one_effect(
    invoke,
    operator,
    other_operator,
    cluster,
):
    operator.drops_responses = True
    result = await invoke(
        'run',
        'create zone a in region r',
        addresses=(operator.address, other_operator.address),
    )
    assert result.exit_code == 0
    assert cluster.version == 1
    assert operator.received == other_operator.received


async def test_secret_of_a_created_key_is_shown_but_never_sent(
    invoke,
    operator,
    other_operator,
    cluster,
):
    await invoke('run', 'create team registry')
    operator.drops_responses = True
    result = await invoke(
        'run',
        '--output',
        'ndjson',
        'create key registry-1 for team registry',
        addresses=(operator.address, other_operator.address),
    )
    row = json.loads(result.stdout)
    assert row['key'] == 'registry-1'
    assert [key.sha256 for key in cluster.document.keys] == [
        key_digest(row['secret']),
    ]
    sent = [*operator.received, *other_operator.received]
    assert row['secret'] not in str(sent)


async def test_error_of_an_unconfirmed_change_shows_the_retry_command(
    invoke, operator, cluster
):
    await invoke('run', 'create team registry')
    operator.drops_responses = True
    lost = await invoke('run', 'create key k for team registry')
    assert lost.exit_code == 3
    secret = lost.stderr.split()[-1]
    assert cluster.document.keys[0].sha256 == key_digest(secret)
    operator.drops_responses = False
    retry_command = shlex.split(lost.stderr.splitlines()[-2])
    again = await invoke(*retry_command[1:])
    assert again.exit_code == 0
    assert (cluster.version, len(cluster.document.keys)) == (2, 1)


async def test_unreachable_hosts_are_reported(invoke, dead_address):
    result = await invoke('run', 'drain engine e-1', addresses=(dead_address,))
    assert result.exit_code == 3
    assert dead_address in result.stderr
    assert 'may have taken effect' not in result.stderr


@pytest.mark.parametrize(
    ('outcome', 'is_doubtful'), [('not-run', False), ('unknown', True)]
)
async def test_unavailable_host_says_whether_a_change_is_doubtful(
    invoke,
    operator,
    outcome,
    is_doubtful,
):
    operator.is_unavailable = True
    operator.outcome = outcome
    result = await invoke('run', 'create zone a in region r')
    assert result.exit_code == 3
    assert ('may have taken effect' in result.stderr) is is_doubtful


async def test_partial_result_has_its_own_exit_code(invoke, operator):
    operator.missing_hosts = ('khomas-b-2',)
    result = await invoke('run', 'show engines', 'create zone a in region r')
    assert result.exit_code == 4
    assert 'note: khomas-b-2 did not answer: silent' in result.stderr


async def test_watch_repeats_and_continues_after_a_failure(invoke, operator):
    result = await invoke('watch', '--count', '2', 'engines every 100ms')
    assert result.exit_code == 0
    assert result.stdout.count('e-1') == 2
    operator.is_unavailable = True
    failed = await invoke('watch', '--count', '2', 'show engines every 100ms')
    assert failed.exit_code == 3
    assert failed.stderr.count('answered 503') == 2


async def test_load_and_check(invoke, cluster, tmp_path):
    path = tmp_path / 'configuration.json'
    path.write_text(json.dumps(CONFIGURATION))
    checked = await invoke('check', str(path))
    assert '1 zones, 0 services' in checked.stdout
    loaded = await invoke('load', str(path))
    assert loaded.exit_code == 0
    assert cluster.document.zones[0].name == 'khomas-a'
    path.write_text(json.dumps({**CONFIGURATION, 'cordoned_zones': ['b']}))
    for command in ('check', 'load'):
        refused = await invoke(command, str(path))
        assert refused.exit_code == 2
        assert "cordoned_zones: no zone 'b'" in refused.stderr
    assert cluster.version == 1


async def test_state_is_printed(invoke):
    result = await invoke('state')
    assert json.loads(result.stdout) == {'host': 'khomas-a-1', 'version': 3}


async def test_settings_file_sets_addresses_and_operator(
    invoke,
    operator,
    tmp_path,
):
    path = tmp_path / 'settings.json'
    fields = {
        'addresses': [operator.address],
        'output': 'json',
        'operator': 'ndapewa',
    }
    path.write_text(json.dumps(fields))
    result = await invoke(
        '--settings', str(path), 'run', 'show engines', GERANIUM_ADDRESS=''
    )
    assert json.loads(result.stdout)['columns'][0] == 'engine'
    assert operator.received[0][1] == 'ndapewa'


@pytest.mark.parametrize(
    ('fields', 'complaint'),
    [
        ({'adresses': []}, 'adresses: Extra inputs'),
        ({'addresses': ['nowhere']}, 'addresses[0]: String should match'),
        ({'timeout_s': 0}, 'timeout_s: Input should be greater'),
        ([], 'is no JSON object'),
    ],
)
async def test_error_of_malformed_settings_names_the_field(
    invoke,
    tmp_path,
    fields,
    complaint,
):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(fields))
    result = await invoke(
        '--settings', str(path), 'run', 'show engines', GERANIUM_ADDRESS=''
    )
    assert result.exit_code == 2
    assert complaint in result.stderr


async def test_missing_address_is_a_usage_error(invoke):
    result = await invoke('run', 'show engines', GERANIUM_ADDRESS='')
    assert result.exit_code == 2
    assert 'GERANIUM_ADDRESS' in result.stderr


async def test_help_lists_the_exit_codes(invoke):
    result = await invoke('--help')
    for code in range(5):
        assert f'\n    {code}  ' in result.stdout


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
async def test_completion_script_is_printed(invoke, shell):
    result = await invoke('completion', shell)
    assert '_GERANIUMCTL_COMPLETE' in result.stdout


async def test_shell_completes_a_statement(invoke):
    result = await invoke(
        _GERANIUMCTL_COMPLETE='bash_complete',
        COMP_WORDS='geraniumctl run "show eng',
        COMP_CWORD='2',
    )
    assert result.stdout == 'plain,show engines\n'
