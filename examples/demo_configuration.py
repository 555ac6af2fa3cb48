"""Prints a configuration with the addresses that stand-ins really have.

Usage: demo_configuration.py CONFIGURATION FOLDER, where FOLDER holds the
output of each stand-in as ``NAME.out``.
"""

import json
import pathlib
import sys


def main(configuration: pathlib.Path, folder: pathlib.Path) -> None:
    """Print the configuration with each target's address replaced."""
    document = json.loads(configuration.read_text())
    for target in document['targets']:
        output = folder / f'{target["name"]}.out'
        target['address'] = json.loads(output.read_text())['address']
    json.dump(document, sys.stdout, indent=2)


if __name__ == '__main__':
    main(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))
