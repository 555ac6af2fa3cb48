"""Operator interface: statements, tables and state dumps."""

from .api import OperatorApi
from .dumps import StateDump
from .execution import StatementExecutor
from .fanout import Fanout
from .tables import LocalTables

__all__ = [
    'Fanout',
    'LocalTables',
    'OperatorApi',
    'StateDump',
    'StatementExecutor',
]
