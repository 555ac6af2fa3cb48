"""Reads configuration files."""

import json
import pathlib

from geranium_model import (
    ConfigurationDocument,
    DocumentError,
    parse_document,
)

from .exceptions import DocumentFileError


def read_document(path: pathlib.Path) -> ConfigurationDocument:
    """Return the validated configuration of a JSON file.

    Raises:
        DocumentFileError: If it cannot be read or is not a valid configuration.
    """
    try:
        raw = json.loads(path.read_text('utf-8'))
    except OSError as error:
        raise DocumentFileError((f'{path}: {error.strerror}',)) from error
    except ValueError as error:
        raise DocumentFileError((f'{path}: is no JSON: {error}',)) from error
    try:
        return parse_document(raw)
    except DocumentError as error:
        errors = tuple(f'{path}: {line}' for line in error.errors)
        raise DocumentFileError(errors) from error
