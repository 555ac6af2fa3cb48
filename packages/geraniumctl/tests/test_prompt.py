"""Tests completion, history and error handling of the prompt."""

import threading

import pytest
from geraniumctl.exit_codes import ExitCode
from geraniumctl.prompt import run_prompt
from geraniumctl.settings import Settings
from geraniumctl.suggestions import StatementCompleter
from prompt_toolkit.application import create_app_session
from prompt_toolkit.completion import CompleteEvent
from prompt_toolkit.document import Document
from prompt_toolkit.input import create_pipe_input
from prompt_toolkit.output import DummyOutput


@pytest.fixture
def type_in(tmp_path):
    """Return a function that types a text and returns the executed scripts."""

    def type_text(text):
        scripts = []

        async def execute(script):
            scripts.append(script)
            if script == 'interrupt':
                raise KeyboardInterrupt
            return ExitCode.REFUSED

        settings = Settings(history_file=tmp_path / 'history')
        with create_pipe_input() as typed:
            typed.send_text(text)
            with create_app_session(input=typed, output=DummyOutput()):
                run_prompt(settings, execute)
        return scripts

    return type_text


def test_prompt_runs_statements_until_exit(type_in, capsys):
    assert type_in('show hosts\r\rhelp\rset role e-1 decode\rexit\rx\r') == [
        'show hosts',
        'set role e-1 decode',
    ]
    assert 'Tab completes' in capsys.readouterr().out


def test_end_of_input_exits_and_interrupt_clears_the_line(type_in):
    assert type_in('half a state\x03show hosts\r\x04') == ['show hosts']


def test_interrupted_statement_returns_to_the_prompt(type_in, capsys):
    assert type_in('interrupt\rshow hosts\rquit\r') == [
        'interrupt',
        'show hosts',
    ]
    assert 'interrupted' in capsys.readouterr().err


def test_history_persists_between_prompts(type_in):
    type_in('show hosts\rexit\r')
    recalled = type_in('\x1b[A\x1b[A\rexit\r')
    assert recalled == ['show hosts']


def test_tab_requests_completions(tmp_path, monkeypatch):
    asked = threading.Event()

    def record_call(completer, document, complete_event):
        asked.set()
        return []

    monkeypatch.setattr(StatementCompleter, 'get_completions', record_call)
    with create_pipe_input() as typed:
        typed.send_text('show eng\t')
        leaving = threading.Thread(target=_exit_after, args=(asked, typed))
        leaving.start()
        with create_app_session(input=typed, output=DummyOutput()):
            run_prompt(Settings(history_file=tmp_path / 'history'), None)
        leaving.join()
    assert asked.is_set()


def _exit_after(event, typed):
    event.wait(timeout=30)
    typed.send_text('\x03exit\r')


@pytest.mark.parametrize(
    ('text', 'words'),
    [
        ('show en', ['engines']),
        ('set role e-1 ', ['decode', 'mixed', 'prefill']),
        ('show hosts; drain ', ['engine']),
        ('create service s model m first', ['first-token']),
        ('show engines where role = ', ['false', 'none', 'true']),
        ('nonsense ', []),
    ],
)
def test_completions_follow_the_grammar(text, words):
    completer = StatementCompleter()
    offered = completer.get_completions(Document(text), CompleteEvent())
    assert [completion.text for completion in offered] == words
