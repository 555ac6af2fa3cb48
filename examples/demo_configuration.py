"""Prints a configuration with the actual addresses of the stand-ins.

Usage: demo_configuration.py CONFIGURATION FOLDER, where FOLDER holds the files
of each stand-in (see ``processes.py``). Waits until all have printed their
addresses.
"""

import json
import pathlib
import sys

from processes import Process, ProcessFailedError, make_deadline


def main(configuration: pathlib.Path, folder: pathlib.Path) -> None:
    """Print the configuration with each target's address replaced."""
    document = json.loads(configuration.read_text())
    deadline = make_deadline()
    for target in document['targets']:
        stand_in = Process(folder, target['name'], deadline)
        target['address'] = stand_in.line()['address']
    json.dump(document, sys.stdout, indent=2)


if __name__ == '__main__':
    try:
        main(*map(pathlib.Path, sys.argv[1:]))
    except ProcessFailedError as failed:
        sys.exit(str(failed))
