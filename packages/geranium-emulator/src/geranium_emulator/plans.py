"""The plan of an emulated day: hosts, engines, load and troubles."""

import pathlib
import tomllib
from typing import Annotated, Literal, TypeAlias

import pydantic
from geranium_relay import Audience


class DocumentError(Exception):
    """A plan that can't be used; says which field and why."""


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class HostPlan(_Section):
    """The hosts and how old their knowledge is.

    Args:
        count: Hosts of all zones together.
        near_news_every_s: Time between two news to hosts of the own zone.
        far_news_every_s: Time between two news to the others.
        news_delay_s: Time that news take.
        list_delay_s: Longest time until a host knows of a changed target.
    """

    count: int = 8
    near_news_every_s: float = 0.2
    far_news_every_s: float = 0.2
    news_delay_s: float = 0.01
    list_delay_s: float = 0.8

    @property
    def news_age_s(self) -> float:
        """About the mean age of what hosts know of each other's loads."""
        mean_s = (self.near_news_every_s + 2 * self.far_news_every_s) / 3
        return mean_s / 2 + self.news_delay_s

    def news_every_s(self, audience: Audience) -> float:
        """Return the time between two news to an audience."""
        match audience:
            case Audience.NEAR:
                return self.near_news_every_s
            case Audience.FAR:
                return self.far_news_every_s


class EnginePlan(_Section):
    """The engines of a zone when the day begins, and how fast they are.

    Args:
        prefill: Engines that only read.
        decode: Engines that read and generate.
        slots: Requests that one runs at once.
        kv_tokens: Tokens that one keeps.
        read_tokens_per_s: Prompt tokens a second of a prefill engine; a
            decode engine reads at half of it.
        step_s: Time of a token with one request running.
        crowd_step_s: Added for each further request.
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
        name: Names it.
        per_s: Requests a second, over all zones.
        shared_tokens: Tokens of the part that a kind's prompts share.
        kinds: How many such parts there are.
        own_tokens: Tokens of its own, on the average.
        generated: Generated tokens, on the average.
        target_s: The first token is on time up to this.
        deadline_s: Nobody waits longer.
        rank: 0 is the most urgent.
        worth: Of one request that is served in time.
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
    """More requests of one class, all with the same shared part."""

    trouble: Literal['burst']
    at_s: float
    for_s: float
    requests: str
    factor: float


class Reclaim(_Section):
    """A zone loses its reclaimable engines; none are to be had meanwhile."""

    trouble: Literal['reclaim']
    at_s: float
    for_s: float
    zone: str
    notice_s: float = 0


class Crash(_Section):
    """Engines stop; their requests are lost; they start again."""

    trouble: Literal['crash']
    at_s: float
    for_s: float
    engines: int


class Slow(_Section):
    """Engines take longer; a factor of 1000 stands for silence."""

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
    """A whole day."""

    seconds: float = 30
    zones: tuple[str, ...] = ('a', 'b', 'c')
    hosts: HostPlan = HostPlan()
    engines: EnginePlan = EnginePlan()
    requests: tuple[RequestPlan, ...]
    troubles: tuple[Trouble, ...] = ()


def read_plan(path: pathlib.Path) -> DayPlan:
    """Return the plan that stands in a TOML file.

    Raises:
        DocumentError: If the file or one of its fields can't be used.
    """
    try:
        return DayPlan.model_validate(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as error:
        raise DocumentError(f'{path}: {error}') from error
