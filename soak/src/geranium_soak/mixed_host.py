"""Runs a host whose build changes with each start of its process.

    python -P mixed_host.py CHECKOUT --settings FILE ...

The first process of a host runs the product code of an older checkout, the
second that of this one, the third the older one again, so that restarts lead
to the newer build and back. With ``--always`` before CHECKOUT, all are of the
older one. The other options are those of ``skewed_host.py``.
"""

import json
import pathlib
import runpy
import sys

SKEWED_HOST = pathlib.Path(__file__).with_name('skewed_host.py')
SETTINGS_OPTION = '--settings'
ALWAYS_OPTION = '--always'
SOURCES = (
    'platform/src',
    'packages/geranium-coordination/src',
    'packages/geranium-model/src',
    'packages/geranium-policy/src',
    'packages/geranium-relay/src',
)


def next_is_older(settings: pathlib.Path) -> bool:
    """Return whether this start of a host is one of the older build."""
    counter = settings.with_suffix('.starts')
    starts = int(counter.read_text()) if counter.exists() else 0
    counter.write_text(str(starts + 1))
    return starts % 2 == 0


def use_checkout(checkout: pathlib.Path) -> None:
    """Import the product code from a checkout instead of this one."""
    sources = [checkout / source for source in SOURCES]
    missing = [source for source in sources if not source.is_dir()]
    if missing:
        sys.exit(f'not a checkout: no {missing[0]}')
    for source in reversed(sources):
        sys.path.insert(0, str(source))


def main() -> None:
    """Run the host."""
    always = ALWAYS_OPTION in sys.argv
    if always:
        sys.argv.remove(ALWAYS_OPTION)
    older = pathlib.Path(sys.argv.pop(1))
    position = sys.argv.index(SETTINGS_OPTION) + 1
    is_older = always or next_is_older(pathlib.Path(sys.argv[position]))
    if is_older:
        use_checkout(older)
    started = json.dumps({'event': 'build_started', 'older': is_older})
    sys.stdout.write(f'{started}\n')
    sys.stdout.flush()
    runpy.run_path(str(SKEWED_HOST), run_name='__main__')


if __name__ == '__main__':
    main()
