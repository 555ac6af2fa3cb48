"""A host that is cut off while a version joins continues no stream at another.

Another operator's report: such a host took a stream up that had begun at a target
of the new version, and went on at a target of the old one.
"""

import contextlib
import pathlib
from collections.abc import Iterator

import pytest
from geranium_coordination import UnavailableError
from geranium_platform.host import Host
from geranium_platform_standins import StandinStore, StandinTarget

from .conftest import Serve, target_entry
from .host_pair import run_pair
from .test_joined_streams import begin_at_the_old_version, break_off
from .waits import wait_for

FOLLOWED_S = 60  # longer than callers take streams up


@contextlib.contextmanager
def out_of_step(host: Host) -> Iterator[None]:
    """Cut a host from the other hosts and from the list of targets."""
    receive, list_kind = host._exchange.datagram_received, host._store.list_kind
    host._exchange.datagram_received = lambda *_datagram: None
    host._store.list_kind = _fail
    try:
        yield
    finally:
        host._exchange.datagram_received = receive
        host._store.list_kind = list_kind


async def _fail(kind: str) -> None:
    raise UnavailableError(kind)


@pytest.mark.parametrize('is_back', [False, True])
async def test_stream_of_the_new_version_is_not_taken_up_at_the_old_one(
    store_standin: StandinStore,
    store_address: str,
    serve: Serve,
    tmp_path: pathlib.Path,
    is_back: bool,
) -> None:
    async with run_pair(
        store_address, store_standin, tmp_path, handler=break_off
    ) as pair:
        cut = pair.hosts[1].host
        cut.state.fleet.reads.followed_since -= FOLLOWED_S
        with contextlib.ExitStack() as stack:
            stack.enter_context(out_of_step(cut))
            joined = StandinTarget(break_off)
            address = await serve(joined.application())
            entry = target_entry(address, version='v2')
            store_standin.put('servers', 'joined', entry)

            async def has_joined() -> bool:
                return pair.knows('joined')

            await wait_for(has_joined)
            began_as = await begin_at_the_old_version(pair)
            if is_back:
                stack.close()

            status, _ = await pair.request(
                1, 'streaming', 'later', Last_Event_Id='1', Resumes=began_as
            )

        # Once it is back, an update may tell it where the stream began.
        assert status == 503 or (is_back and joined.requests)
        assert not pair.runs_of('later')
