"""A failed task is restarted and its failure is logged."""

import json

from geraniumd.process import configure_logs, supervise


async def test_failed_task_is_restarted_and_logged(capsys):
    configure_logs('info', 'h')
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 2:
            raise ValueError('unforeseen')

    await supervise('claims', run)
    assert len(runs) == 2
    logged = json.loads(capsys.readouterr().err.splitlines()[-1])
    assert (logged['event'], logged['task']) == ('task_failed', 'claims')
    assert 'locals' not in json.dumps(logged['exception'])
