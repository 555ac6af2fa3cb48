"""One run of a fleet under faults in virtual time."""

import asyncio
import dataclasses

from geranium_coordination import DutySettings, JournalSettings, OrderReceiver

from . import virtual_time
from .history import Event
from .processes import Fleet
from .world import Fault, World


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The processes, faults, settings and length of a run."""

    faults: tuple[Fault, ...] = ()
    rates: tuple[float, ...] = (1, 1, 1)
    names: tuple[str, ...] = ('duty',)
    seed: int = 0
    length_s: float = 40
    receivers: tuple[OrderReceiver, ...] = ()
    duties: DutySettings = dataclasses.field(default_factory=DutySettings)
    journals: JournalSettings = dataclasses.field(
        default_factory=JournalSettings,
    )


def simulate(scenario: Scenario) -> World:
    return virtual_time.run(_run(scenario))


def history_of(scenario: Scenario) -> list[Event]:
    return simulate(scenario).history


async def _run(scenario: Scenario) -> World:
    world = World(scenario.duties, scenario.journals, scenario.receivers)
    fleet = Fleet(world, scenario.rates, scenario.names, scenario.seed)
    async with asyncio.TaskGroup() as group:
        group.create_task(fleet.inject_all(list(scenario.faults)))
        await world.sample_until(scenario.length_s)
    await _end(world)
    return world


async def _end(world: World) -> None:
    world.is_over = True
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
