"""No change is lost or repeated despite races, kills and lost responses."""

import asyncio
import json

import geranium_coordination as coordination
import pytest
from geranium_coordination import (
    configuration_objects,
    configuration_replica,
    configuration_repository,
    manifests,
)
from hypothesis import given, settings, strategies

from .config_documents import adding_team
from .config_history import Accepted, History, InForce, NotMade, StoredVersion
from .config_store import Faults, Schedule, ScheduledStore

SEEDS = strategies.integers(min_value=0, max_value=10**6)
FAULTS = Faults(
    refused=0.06,
    lost_after=0.06,
    lost_before=0.06,
    killed=0.02,
    outages=((1000.5, 1002),),
)
SETTINGS = coordination.ConfigurationSettings(
    team_buckets=2,
    target_buckets=1,
    kept_versions=2,
    call_budget_s=1.5,
)
ROUNDS = 12


class Run:
    """Writers that resend until the outcome is known, and replicas."""

    def __init__(self, seed: int) -> None:
        self.schedule = Schedule(seed, FAULTS)
        self.store = ScheduledStore(self.schedule)
        self.history = History()
        self.loaded: list[coordination.LoadedConfiguration] = []
        self.restarts = 0
        self.sent: set[str] = set()
        self.ended: set[str] = set()

    def repository(self):
        return coordination.ConfigurationRepository(
            self.store, SETTINGS, self.schedule
        )

    async def write(self, writer: int):
        for number in range(3):
            operation_id = f'op-{writer}-{number}'
            if operation_id not in self.ended:
                await self._make(operation_id)

    async def follow(self, process: str):
        repository = self.repository()
        replica = coordination.ConfigurationReplica(
            process, None, self.schedule
        )
        replica.subscribe(lambda loaded: self._record(process, loaded))
        for _ in range(ROUNDS):
            try:
                replica.apply(await repository.load(replica.loaded))
            except coordination.ConfigurationUnavailableError:
                continue
            if self.loaded:
                replica.apply(self.schedule.random.choice(self.loaded))

    def restart(self, index: int):
        self.restarts += 1
        if index < 3:
            return self.write(index)
        return self.follow(f'replica-{index}-{self.restarts}')

    def check(self) -> list[str]:
        roles = [self.write(writer) for writer in range(3)]
        roles += [self.follow(f'replica-{index}') for index in (3, 4)]
        errors = asyncio.run(self._run(roles))
        self._read_store()
        failures = [repr(error) for error in errors if error is not None]
        return failures + self.history.violations()

    async def _run(self, roles):
        return await self.schedule.run(*roles, on_kill=self.restart)

    async def _make(self, operation_id: str):
        ended = None
        while ended is None:
            resent = operation_id in self.sent
            self.sent.add(operation_id)
            ended = await self._try(operation_id, resent)
        self.ended.add(operation_id)
        self.history.seen.append(ended)

    async def _try(self, operation_id: str, resent: bool):
        """Return the outcome, ``None`` while it is unknown."""
        try:
            outcome = await self.repository().change(
                adding_team(operation_id), operation_id, 'ann'
            )
        except coordination.ConfigurationUnavailableError:
            # This covers this call only: an earlier one may be in flight.
            return None if resent else NotMade(operation_id)
        except coordination.ChangeOutcomeUnknownError:
            return None
        return Accepted(operation_id, outcome.version)

    def _record(self, process, loaded):
        teams = frozenset(loaded.configuration.teams_by_name)
        self.loaded.append(loaded)
        self.history.seen.append(InForce(process, loaded.version, teams))

    def _read_store(self):
        bodies = {stored.key: stored.body for stored in self.store.writes}
        for stored in self.store.writes:
            if stored.key == manifests.MANIFEST_KEY:
                self.history.stored.append(_stored_version(stored, bodies))


def _stored_version(stored, bodies):
    manifest = manifests.decode_manifest(stored.body)
    teams: set[str] = set()
    for entry in manifest.segments.values():
        part = bodies[manifests.segment_key(entry.digest)]['content']
        teams.update(team['name'] for team in part.get('teams', ()))
    operation_id = manifest.changes[-1].operation_id
    return StoredVersion(manifest.version, operation_id, frozenset(teams))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(seed=SEEDS)
def test_no_change_is_lost_repeated_or_reverted(seed):
    assert not Run(seed).check()


def forget_lost_answers(patch):
    async def write_head(self, manifest, replaced, deadline):
        condition = configuration_objects._condition(replaced)
        body = manifests.encode_manifest(manifest)
        try:
            return await self._replace_head(body, condition)
        except coordination.StoreError as error:
            raise coordination.ConfigurationUnavailableError from error

    patch.setattr(
        configuration_objects.ConfigurationObjects, 'write_head', write_head
    )


def overwrite(patch):
    patch.setattr(
        configuration_objects,
        '_condition',
        lambda _: coordination.Unconditional(),
    )


def forget_operations(patch):
    patch.setattr(
        configuration_repository, '_settled', lambda manifest, request: None
    )


def apply_any_version(patch):
    def apply(self, loaded):
        self._loaded = loaded
        for listener in self._listeners:
            listener(loaded)
        return True

    replica = configuration_replica.ConfigurationReplica
    patch.setattr(replica, 'apply', apply)


@pytest.mark.parametrize(
    'mutant',
    [forget_lost_answers, overwrite, forget_operations, apply_any_version],
)
def test_checker_catches_the_mutant(mutant, monkeypatch):
    mutant(monkeypatch)
    assert any(Run(seed).check() for seed in range(60))


V1 = StoredVersion(1, 'a', frozenset('a'))
V2 = StoredVersion(2, 'b', frozenset('ab'))
SECOND_V1 = StoredVersion(1, 'b', frozenset('ab'))
LOSSY_V2 = StoredVersion(2, 'b', frozenset('b'))
REPEATED_A = StoredVersion(2, 'a', frozenset('ab'))
FIRST_IN_FORCE = InForce('r', 1, V1.teams)
SECOND_IN_FORCE = InForce('r', 2, V2.teams)


@pytest.mark.parametrize(
    ('stored', 'seen'),
    [
        ([V1, SECOND_V1], []),
        ([V1, LOSSY_V2], []),
        ([V1, REPEATED_A], []),
        ([V1], [NotMade('a')]),
        ([V1], [Accepted('b', 2)]),
        ([V1, V2], [SECOND_IN_FORCE, FIRST_IN_FORCE]),
        ([V1], [InForce('r', 1, frozenset('b'))]),
    ],
)
def test_checker_rejects(stored, seen):
    assert History(stored, seen).violations()


def test_checker_accepts_a_valid_history():
    seen = [Accepted('a', 1), NotMade('c'), FIRST_IN_FORCE, SECOND_IN_FORCE]
    assert not History([V1, V2], seen).violations()


def test_manifest_is_plain_json():
    manifest = manifests.Manifest(3)
    body = json.loads(json.dumps(manifests.encode_manifest(manifest)))
    assert manifests.decode_manifest(body) == manifest
