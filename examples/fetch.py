"""Sends one HTTP request for the demo and prints the response body.

Usage: fetch.py URL [--data TEXT] [--header 'Name: text']... [--output FILE]

With ``--output`` the body is written to the file and the status is printed
instead. Exits with 1 on an error status or if there is no response.
"""

import argparse
import pathlib
import sys
from urllib import error, request

TIMEOUT_S = 30


def main() -> int:
    """Send the request; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('url')
    parser.add_argument('--data')
    parser.add_argument('--header', action='append', default=[])
    parser.add_argument('--output', type=pathlib.Path)
    options = parser.parse_args()
    data = None if options.data is None else options.data.encode()
    headers = dict(line.split(': ', 1) for line in options.header)
    http_request = request.Request(options.url, data, headers)
    try:
        with request.urlopen(http_request, timeout=TIMEOUT_S) as response:
            body = response.read()
            status = response.status
    except error.URLError as failure:
        sys.stderr.write(f'{options.url}: {failure}\n')
        return 1
    if options.output is None:
        sys.stdout.write(body.decode())
    else:
        options.output.write_bytes(body)
        sys.stdout.write(f'{status}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
