"""A holder that is cut off while its report is on the way."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

ZONES = ('a', 'b', 'c')
CUT_S = 5.5
AFTER_S = 5.0


async def play(stage: stages.Stage, troubled: bool) -> int:
    """Cut the holder off as its report is sent; judge the calls by fence."""
    routes = [stages.route('safe', 'safe', 'app')]
    configuration = stages.configuration(1, routes, {'t1': ['key1']})
    stage.store.put('config', 'main', configuration)
    for number, zone in enumerate(ZONES):
        server = stages.AppServer(f'i-{number}', 'app', stage.record)
        await stage.add_server(server, zone, 100 + number)
    await stage.add_hosts(ZONES)
    requests = asyncio.create_task(stages.send_ordinary(stage))
    calls = stage.cloud.calls
    await stages.until(lambda: len(calls) >= 2)
    holder = next(one for one in stage.hosts if one.name == calls[-1].holder)
    sent = asyncio.Event()

    def cut_report(data: bytes) -> None:
        if b'POST /usage' in data and not sent.is_set():
            sent.set()
            stage.record.line('report_on_the_way', host=holder.name)
            if troubled:
                holder.cut(is_cut=True)

    holder.links['cloud'].on_data = cut_report
    await sent.wait()
    await asyncio.sleep(CUT_S)
    if troubled:
        holder.cut(is_cut=False)
    healed_at = stage.record.now()
    await asyncio.sleep(AFTER_S)
    requests.cancel()
    return judge(stage, healed_at)


def judge(stage: stages.Stage, healed_at: float) -> int:
    """Return whether a lower fence came after a higher one, unexcused."""
    slack_s = stages.BOUNDS['thawSlackMs'] / 1000
    highest, broken = 0, 0
    for call in stage.cloud.calls:
        excused = healed_at <= call.at <= healed_at + slack_s
        if call.fence < highest and not excused:
            broken += 1
            stage.record.line(
                'lower_fence',
                at=round(call.at, 3),
                after_heal_s=round(call.at - healed_at, 3),
                holder=call.holder,
                fence=call.fence,
                highest=highest,
            )
        highest = max(highest, call.fence)
    stage.record.line('result', calls=len(stage.cloud.calls), broken=broken)
    return stages.BROKEN if broken else stages.HELD


stages.run_case(play, lambda record: stages.Stage(record, ZONES))
