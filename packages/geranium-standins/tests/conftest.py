"""Fixtures that serve stand-ins in the test process."""

import contextlib
import dataclasses

import aiohttp
import pytest
from geranium_standins import (
    ApplicationSettings,
    EngineSettings,
    LoadSettings,
    create_application,
    create_engine,
    create_platform,
    start_server,
)
from geranium_standins.client import StandinClient, send_once
from geranium_standins.settings import StepModel

CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=20)
QUICK = EngineSettings(
    role_change_ms=20,
    loading=LoadSettings(load_ms=20),
    step_model=StepModel(
        prefill_us_per_token=1,
        decode_step_us=1000,
        decode_us_per_sequence=1,
    ),
)


@pytest.fixture
async def serve():
    """Return a function that serves a web application to a client."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=CLIENT_TIMEOUT,
                middlewares=(send_once,),
            ),
        )

        async def start(app):
            runner, address = await start_server(app, 0)
            stack.push_async_callback(runner.cleanup)
            return StandinClient(session, address)

        yield start


@pytest.fixture
async def platform(serve):
    return await serve(create_platform())


@pytest.fixture
async def application(serve):
    return await serve(create_application(ApplicationSettings()))


@pytest.fixture
async def start_engine(serve):
    """Return a function that serves a fast engine with given settings."""

    async def start(**options):
        settings = dataclasses.replace(QUICK, **options)
        return await serve(create_engine(settings))

    return start


@pytest.fixture
async def engine(start_engine):
    return await start_engine()
