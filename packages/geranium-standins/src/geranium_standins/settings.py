"""Settings of the stand-ins."""

import dataclasses
import os
from collections.abc import Callable

from geranium_model import Role

US_PER_S = 1_000_000
MS_PER_S = 1000
CRASH_STATUS = 70
TOKENS_PER_PIECE = 16
MIB = 1024 * 1024
WEIGHTS_MIB = 32


@dataclasses.dataclass(frozen=True, slots=True)
class StepModel:
    """How long an engine's steps take.

    A step decodes one token for each decoding sequence and reads up to
    ``prefill_chunk_tokens`` of prompts. It takes ``decode_step_us`` if it
    decodes at all, ``decode_us_per_sequence`` for each sequence that it
    decodes, and ``prefill_us_per_token``.

    A prefill engine reads ``prefill_role_factor`` times the chunk in a step.
    A decode engine takes ``decode_role_penalty`` times as long for a token
    of a prompt.
    """

    prefill_us_per_token: float = 50
    decode_step_us: float = 12_000
    decode_us_per_sequence: float = 150
    prefill_chunk_tokens: int = 512
    prefill_role_factor: int = 4
    decode_role_penalty: float = 4

    def chunk_tokens(self, role: Role) -> int:
        """Return how many tokens of prompts a step reads at most."""
        if role is Role.PREFILL:
            return self.prefill_chunk_tokens * self.prefill_role_factor
        return self.prefill_chunk_tokens

    def step_s(self, role: Role, decoding: int, prefill_tokens: int) -> float:
        """Return how long a step takes, in seconds."""
        prefill_us = self.prefill_us_per_token * prefill_tokens
        if role is Role.DECODE:
            prefill_us *= self.decode_role_penalty
        decode_us = self.decode_us_per_sequence * decoding
        if decoding:
            decode_us += self.decode_step_us
        return (prefill_us + decode_us) / US_PER_S


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """How an engine loads models and adapters.

    Without a platform's address a load takes ``load_ms``; with one the
    engine fetches ``weights_bytes`` from the weight store. Adapters have
    ``adapter_share`` of a model's bytes or time.
    """

    platform_address: str = ''
    weights_bytes: int = WEIGHTS_MIB * MIB
    load_ms: int = 1000
    adapter_share: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of the stand-ins.

    ``bad_version`` is a version under which every completion fails.
    ``exit_process`` is called with the exit status at a crash.
    """

    engine: str = 'engine'
    model: str = 'model'
    version: str = '1'
    role: Role = Role.MIXED
    kv_pieces: int = 2000
    max_running: int = 256
    max_waiting: int = 256
    honours_fencing: bool = True
    role_change_ms: int = 3000
    kv_us_per_piece: float = 100
    bad_version: str = ''
    seed: int = 0
    step_model: StepModel = StepModel()
    loading: LoadSettings = LoadSettings()
    exit_process: Callable[[int], None] = os._exit


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationSettings:
    """Settings of an application stand-in.

    ``exit_process`` is called with the exit status at a crash.
    """

    target: str = 'application'
    service: str = 'application'
    exit_process: Callable[[int], None] = os._exit
