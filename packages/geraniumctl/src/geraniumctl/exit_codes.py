"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of the process."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    PARTIAL = 4


EXIT_CODES_HELP = """\b
Exit codes:
  0  everything was answered
  1  refused: a conflict, an unknown name or a missing right
  2  wrong usage, a malformed statement or a malformed file
  3  no host answered; a change may have taken effect
  4  answered, but some hosts' part is missing
"""
