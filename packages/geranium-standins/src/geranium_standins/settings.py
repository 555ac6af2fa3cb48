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
    """Duration model of an engine's steps.

    A step decodes one token for each decoding sequence and prefills up to
    ``prefill_chunk_tokens`` prompt tokens. Its duration is the sum of
    ``decode_step_us`` if it decodes at all, ``decode_us_per_sequence`` for
    each decoding sequence, and ``prefill_us_per_token`` for each prompt token.

    A prefill engine prefills ``prefill_role_factor`` times as many tokens in
    a step. A decode engine needs ``decode_role_penalty`` times as long for a
    prompt token.
    """

    prefill_us_per_token: float = 50
    decode_step_us: float = 12_000
    decode_us_per_sequence: float = 150
    prefill_chunk_tokens: int = 512
    prefill_role_factor: int = 4
    decode_role_penalty: float = 4

    def chunk_tokens(self, role: Role) -> int:
        """Return the maximum number of prompt tokens in a step."""
        if role is Role.PREFILL:
            return self.prefill_chunk_tokens * self.prefill_role_factor
        return self.prefill_chunk_tokens

    def step_s(self, role: Role, decoding: int, prefill_tokens: int) -> float:
        """Return the duration of a step in seconds."""
        prefill_us = self.prefill_us_per_token * prefill_tokens
        if role is Role.DECODE:
            prefill_us *= self.decode_role_penalty
        decode_us = self.decode_us_per_sequence * decoding
        if decoding:
            decode_us += self.decode_step_us
        return (prefill_us + decode_us) / US_PER_S


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings for loading models and adapters.

    With a platform address the engine fetches ``weights_bytes`` from the
    weight store; without one a load takes ``load_ms``. An adapter needs the
    fraction ``adapter_share`` of a model's bytes or time.
    """

    platform_address: str = ''
    weights_bytes: int = WEIGHTS_MIB * MIB
    load_ms: int = 1000
    adapter_share: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of an engine stand-in.

    Every completion fails while ``bad_version`` is loaded. ``exit_process``
    is called with the exit status to simulate a crash.
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

    ``exit_process`` is called with the exit status to simulate a crash.
    """

    target: str = 'application'
    service: str = 'application'
    exit_process: Callable[[int], None] = os._exit
