"""How calls to targets fail, told apart by what may have run."""


class RelayError(Exception):
    """Base of the errors of calls to targets."""


class NotSentError(RelayError):
    """No byte of the call reached the target."""


class NotRunError(RelayError):
    """The target says that it did not run the call.

    ``misdirected`` tells that another target has the address.
    """

    def __init__(self, detail: str, *, misdirected: bool = False) -> None:
        super().__init__(detail)
        self.misdirected = misdirected


class AnswerLostError(RelayError):
    """The call was sent and its answer is lost or not one: it may have run.

    ``broken`` tells that the connection ended, as it does when the target
    crashes.
    """

    def __init__(self, detail: str, *, broken: bool = False) -> None:
        super().__init__(detail)
        self.broken = broken


class TargetSilentError(RelayError):
    """The target sent nothing by the deadline of the call."""
