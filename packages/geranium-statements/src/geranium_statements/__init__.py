"""The query and command language of the operator interface."""

from . import commands, conditions, responses
from .evaluation import run_query
from .exceptions import NameInUseError, StatementError
from .formatting import format_statement
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
    HostResponse,
    NoResponse,
    Row,
    Table,
    build_table,
    merge_responses,
)

__all__ = [
    'Cell',
    'Change',
    'Collection',
    'Column',
    'DrainEngine',
    'EngineOrder',
    'ExplainRequest',
    'HostResponse',
    'LoadAdapter',
    'LoadModel',
    'MutationResult',
    'NameInUseError',
    'NoResponse',
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
    'apply_command',
    'build_table',
    'commands',
    'completions',
    'conditions',
    'engine_command',
    'format_statement',
    'keywords',
    'merge_responses',
    'parse_statement',
    'render_error',
    'responses',
    'run_query',
    'split_script',
]
