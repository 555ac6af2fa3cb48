"""Errors of the model layer."""


class ModelError(Exception):
    """Base of every error that this package raises."""


class DocumentError(ModelError):
    """A configuration document is malformed or contradicts itself.

    Each complaint names the place by its path, such as ``services[2].name``.
    """

    def __init__(self, complaints: tuple[str, ...]) -> None:
        super().__init__('; '.join(complaints))
        self.complaints = complaints


class UnknownNameError(ModelError):
    """A configuration holds nothing of this kind under this name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'no {kind} is named {name!r}')
        self.kind = kind
        self.name = name


class NameTakenError(ModelError):
    """A configuration already holds something of this kind and name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'a {kind} named {name!r} exists already')
        self.kind = kind
        self.name = name
