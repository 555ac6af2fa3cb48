"""The query and command language of the operator interface."""

from . import answers, commands, conditions
from .descriptions import describe
from .evaluation import run_query
from .exceptions import NameInUseError, StatementError
from .mutations import MutationResult, apply_command
from .orders import (
    DrainEngine,
    EngineOrder,
    LoadAdapter,
    LoadModel,
    ResumeEngine,
    SetEngineRole,
    StopHost,
    engine_command,
)
from .parsing import completions, keywords, parse_statement
from .queries import Collection, ExplainRequest, OrderBy, Query, Show, Watch
from .rendering import render_error
from .scripts import ScriptStatement, split_script
from .statements import Change, Statement
from .tables import (
    Cell,
    Column,
    HostAnswer,
    NoAnswer,
    Row,
    Table,
    build_table,
    merge,
)

__all__ = [
    'Cell',
    'Change',
    'Collection',
    'Column',
    'DrainEngine',
    'EngineOrder',
    'ExplainRequest',
    'HostAnswer',
    'LoadAdapter',
    'LoadModel',
    'MutationResult',
    'NameInUseError',
    'NoAnswer',
    'OrderBy',
    'Query',
    'ResumeEngine',
    'Row',
    'ScriptStatement',
    'SetEngineRole',
    'Show',
    'Statement',
    'StatementError',
    'StopHost',
    'Table',
    'Watch',
    'answers',
    'apply_command',
    'build_table',
    'commands',
    'completions',
    'conditions',
    'describe',
    'engine_command',
    'keywords',
    'merge',
    'parse_statement',
    'render_error',
    'run_query',
    'split_script',
]
