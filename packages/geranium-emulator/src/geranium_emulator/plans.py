"""The plan of an emulated day: hosts, engines, load and faults."""

import pathlib
import tomllib
from typing import Annotated, Literal, TypeAlias

import pydantic
from geranium_relay import Audience


class DocumentError(Exception):
    """An invalid plan; the message names the field and the reason."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class HostPlan(_Section):
    """The hosts and the age of the state that they decide by.

    Args:
        count: Hosts of all zones together.
        near_news_every_s: Interval between peer updates to the same zone.
        far_news_every_s: Interval between peer updates to other zones.
        news_delay_s: Delivery time of a peer update.
        list_delay_s: Maximum delay until a host receives a changed target
            list.
    """

    count: int = 8
    near_news_every_s: float = 0.2
    far_news_every_s: float = 0.2
    news_delay_s: float = 0.01
    list_delay_s: float = 0.8

    @property
    def news_age_s(self) -> float:
        """Approximate mean age of the peers' loads, over three zones."""
        mean_s = (self.near_news_every_s + 2 * self.far_news_every_s) / 3
        return mean_s / 2 + self.news_delay_s

    def news_every_s(self, audience: Audience) -> float:
        """Return the interval between peer updates to an audience."""
        match audience:
            case Audience.NEAR:
                return self.near_news_every_s
            case Audience.FAR:
                return self.far_news_every_s


class EnginePlan(_Section):
    """The initial engines of a zone and their speed.

    Args:
        prefill: Engines that only run prefill.
        decode: Engines that run prefill and decode.
        slots: Concurrent requests per engine.
        kv_tokens: Capacity of an engine's prompt cache, in tokens.
        read_tokens_per_s: Prompt tokens per second of a prefill engine; a
            decode engine reaches half of it.
        step_s: Time per generated token with one running request.
        crowd_step_s: Time added to it by each further request.
        boot_s: Time from an order until an engine serves.
    """

    prefill: int = 4
    decode: int = 6
    slots: int = 24
    kv_tokens: int = 500_000
    read_tokens_per_s: float = 50_000
    step_s: float = 0.01
    crowd_step_s: float = 0.0005
    boot_s: float = 4

    @property
    def of_zone(self) -> int:
        """Engines of a zone, both stages together."""
        return self.prefill + self.decode


class RequestPlan(_Section):
    """A class of requests.

    Args:
        name: Unique name of the class.
        per_s: Requests per second, over all zones.
        shared_tokens: Tokens of the prefix that the prompts of a kind share.
        kinds: Number of distinct prefixes.
        own_tokens: Average tokens after the shared prefix.
        generated: Tokens to generate.
        target_s: Latency target of the first token.
        deadline_s: Time after which the caller gives up.
        rank: Priority; 0 is the most urgent.
        worth: Value of a request that is served in time.
    """

    name: str
    per_s: float
    shared_tokens: int = 1500
    kinds: int = 6
    own_tokens: int = 400
    generated: int = 60
    target_s: float = 0.4
    deadline_s: float = 3
    rank: int = 0
    worth: float = 1


class Burst(_Section):
    """More requests of one class, all with the same shared prefix."""

    trouble: Literal['burst']
    at_s: float
    for_s: float
    requests: str
    factor: float


class Reclaim(_Section):
    """A zone loses its reclaimable engines and can't order new ones."""

    trouble: Literal['reclaim']
    at_s: float
    for_s: float
    zone: str
    notice_s: float = 0


class Crash(_Section):
    """Engines crash, lose their requests and restart."""

    trouble: Literal['crash']
    at_s: float
    for_s: float
    engines: int


class Slow(_Section):
    """Engines slow down; a factor of 1000 emulates unresponsive ones."""

    trouble: Literal['slow']
    at_s: float
    for_s: float
    engines: int
    factor: float


Trouble: TypeAlias = Annotated[
    Burst | Reclaim | Crash | Slow,
    pydantic.Field(discriminator='trouble'),
]


class DayPlan(_Section):
    """The plan of a whole day."""

    seconds: float = 30
    zones: tuple[str, ...] = ('a', 'b', 'c')
    hosts: HostPlan = HostPlan()
    engines: EnginePlan = EnginePlan()
    requests: tuple[RequestPlan, ...]
    troubles: tuple[Trouble, ...] = ()


def read_plan(path: pathlib.Path) -> DayPlan:
    """Return the plan in a TOML file.

    Raises:
        DocumentError: If the file can't be read or a field is invalid.
    """
    try:
        return DayPlan.model_validate(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise DocumentError(f'{path}: {error}') from error
