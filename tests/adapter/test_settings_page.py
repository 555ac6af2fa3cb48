"""The page of settings lists exactly the fields of the model."""

import pathlib
import re
from collections.abc import Iterator

import pydantic
from geranium_platform import PlatformSettings
from geranium_platform.reloading import LIVE_BOUNDS

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'platform' / 'SETTINGS.md'
ROW = re.compile(r'^\| `([\w.]+)` \| (yes)? ?\|', re.MULTILINE)


def fields(model: type[pydantic.BaseModel]) -> Iterator[tuple[str, str]]:
    """Yield each field's name in code and its path in the file."""
    for name, field in model.model_fields.items():
        alias = field.alias or name
        section = section_of(field.annotation)
        if section is None:
            yield name, alias
            continue
        for inner, path in fields(section):
            yield inner, f'{alias}.{path}'


def section_of(annotation: object) -> type[pydantic.BaseModel] | None:
    """Return the model of a section; ``None`` if it is a plain field."""
    members = getattr(annotation, '__args__', ())
    for kind in (annotation, *members):
        if isinstance(kind, type) and issubclass(kind, pydantic.BaseModel):
            return kind
    return None


def test_page_lists_each_field_and_whether_it_is_live() -> None:
    rows = ROW.findall(PAGE.read_text())
    listed = {path: bool(live) for path, live in rows}
    known = {}
    for name, path in fields(PlatformSettings):
        known[path] = name in LIVE_BOUNDS

    assert listed == known
