"""Statuses of HTTP responses."""

SWITCHING_PROTOCOLS = 101
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a response with a status may end a call.

    Calls never ask for another protocol, so one with 101 does not either.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def is_informational(status: int) -> bool:
    """Return whether a final response follows one with a status."""
    return (
        FIRST_STATUS <= status < FIRST_FINAL_STATUS
        and status != SWITCHING_PROTOCOLS
    )
