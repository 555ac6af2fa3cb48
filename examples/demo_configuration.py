"""Prints a configuration with the actual addresses of the stand-ins.

Usage: demo_configuration.py CONFIGURATION FOLDER, where FOLDER holds the
standard output of each stand-in as ``NAME.out``.
"""

import json
import pathlib
import sys


def main(configuration: pathlib.Path, folder: pathlib.Path) -> None:
    """Print the configuration with each target's address replaced."""
    document = json.loads(configuration.read_text())
    for target in document['targets']:
        target['address'] = _address(folder, target['name'])
    json.dump(document, sys.stdout, indent=2)


def _address(folder: pathlib.Path, name: str) -> str:
    printed = json.loads((folder / f'{name}.out').read_text())
    return str(printed['address'])


if __name__ == '__main__':
    main(*map(pathlib.Path, sys.argv[1:]))
