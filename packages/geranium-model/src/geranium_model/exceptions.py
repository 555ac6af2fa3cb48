"""Exceptions of the model layer."""


class ModelError(Exception):
    """Base class of the exceptions of this package."""


class DocumentError(ModelError):
    """A configuration document is malformed or inconsistent.

    Each error starts with the path of the field, ``services[2].name``.
    """

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__('; '.join(errors))
        self.errors = errors


class UnknownNameError(ModelError):
    """The configuration has no object of this kind and name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'no {kind} is named {name!r}')
        self.kind = kind
        self.name = name


class NameTakenError(ModelError):
    """The configuration already has an object of this kind and name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f'a {kind} named {name!r} exists already')
        self.kind = kind
        self.name = name
