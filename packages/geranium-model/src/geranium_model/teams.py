"""Teams and the keys that their requests carry."""

import dataclasses
import hashlib
import secrets

KEY_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A customer; ``weight`` is its share relative to other teams'."""

    name: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A team's key, known only by the SHA-256 of its secret in hex."""

    key_id: str
    team: str
    sha256: str


def key_digest(secret: str) -> str:
    """Return the SHA-256 in hex by which a key's secret is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def generate_secret() -> str:
    """Return a fresh random secret for a key."""
    return f'gk-{secrets.token_urlsafe(KEY_BYTES)}'
