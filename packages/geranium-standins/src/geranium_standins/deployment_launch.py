"""Launch functions for the processes of a deployment."""

import dataclasses
import json
import os
from collections.abc import Mapping
from typing import Any

from .deployment_operator import OPERATOR_TOKEN
from .deployment_settings import REGION, DeploymentSettings
from .managed_process import ManagedProcess

PEER_SECRET = 'deployment-peers'


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonLocation:
    """Host and zone of a daemon, and its platform's address."""

    host: str
    zone: str
    platform_address: str


async def launch_engine(
    process: ManagedProcess,
    settings: DeploymentSettings,
    number: int,
) -> None:
    """Start an engine stand-in."""
    fencing = '--honours-fencing'
    if process.name in settings.unfenced_engines:
        fencing = '--ignores-fencing'
    await process.start(
        (
            'geranium_standins.engine',
            '--port=0',
            f'--engine={process.name}',
            f'--seed={number}',
            fencing,
            *settings.engine_options,
        ),
    )


async def launch_target(
    process: ManagedProcess,
    settings: DeploymentSettings,
) -> None:
    """Start an application stand-in."""
    await process.start(
        (
            'geranium_standins.application',
            '--port=0',
            f'--target={process.name}',
            f'--service={settings.application_service}',
        ),
    )


async def launch_daemon(
    process: ManagedProcess,
    settings: DeploymentSettings,
    location: DaemonLocation,
    overrides: Mapping[str, Any],
) -> None:
    """Start a daemon with overrides merged into its settings."""
    document: dict[str, Any] = {
        'host': location.host,
        'zone': location.zone,
        'region': REGION,
        'platform': {'address': location.platform_address},
        'shutdown': {'linger_s': 1},
    }
    _merge(document, settings.daemon_settings)
    _merge(document, overrides)
    path = process.log_path.with_name(f'{location.host}.json')
    path.write_text(json.dumps(document))
    environment = {
        **os.environ,
        'GERANIUM_OPERATOR_TOKEN': OPERATOR_TOKEN,
        'GERANIUM_PEER_SECRET': PEER_SECRET,
    }
    await process.start(
        ('geraniumd_start', str(path), '--log-level', settings.log_level),
        environment,
    )


def _merge(document: dict[str, Any], overrides: Mapping[str, Any]) -> None:
    for field, override in overrides.items():
        present = document.get(field)
        if isinstance(present, dict) and isinstance(override, Mapping):
            _merge(present, override)
        else:
            document[field] = override
