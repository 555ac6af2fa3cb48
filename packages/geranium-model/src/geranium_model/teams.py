"""Teams and their API keys."""

import dataclasses
import hashlib
import secrets

SECRET_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A customer; ``weight`` is its share of capacity relative to others."""

    name: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A team's key; only the hexadecimal SHA-256 of its secret is stored."""

    key_id: str
    team: str
    sha256: str


def key_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 of a key's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def generate_secret() -> str:
    """Return a new random secret for a key."""
    return f'gk-{secrets.token_urlsafe(SECRET_BYTES)}'
