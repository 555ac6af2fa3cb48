"""A short seeded run over real host processes.

Only guarantees that do not depend on the load of the machine are checked.
Longer runs of `geranium-soak` check those with a bound in seconds.
"""

from geranium_soak import EnvironmentSettings, RunSettings, run_soak
from geranium_soak.checks import INVARIANTS
from geranium_soak.cli import HOST_PROGRAM


async def test_guarantees_hold_under_faults(tmp_path) -> None:
    environment = EnvironmentSettings(
        hosts=3,
        calls=2,
        engines=3,
        folder=tmp_path,
        program=HOST_PROGRAM,
        skews_s=(0, 0.5),
    )
    settings = RunSettings(
        seed=4,
        faults_s=8,
        settle_s=3,
        calm_s=3,
        callers=4,
        environment=environment,
        checks=INVARIANTS,
    )

    report = await run_soak(settings)

    assert not report.violations
    assert report.faults
    assert report.served
