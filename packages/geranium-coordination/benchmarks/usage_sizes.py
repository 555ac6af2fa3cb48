"""Measures the size of a full sealed window.

Run: ``python packages/geranium-coordination/benchmarks/usage_sizes.py``.
"""

import json
import sys

from geranium_coordination import CountedBatches, UsageBatch
from geranium_coordination.usage_seals import encode_seal, seal_window
from geranium_model import Usage

TEAMS = 11000
HOSTS = 470
WINDOW = 480000
LATE_WINDOWS = 48
PROMPT_TOKENS = 100000000
GENERATED_TOKENS = 10000000
REQUESTS = 10000
USAGE = Usage(PROMPT_TOKENS, GENERATED_TOKENS, REQUESTS)


def main() -> None:
    """Seal a window in which every team has usage on one host."""
    teams = [f'team-{number}' for number in range(TEAMS)]
    batches = [
        UsageBatch(
            f'khomas-a-{number}#incarnation',
            1,
            WINDOW,
            {team: USAGE for team in teams[number::HOSTS]},
        )
        for number in range(HOSTS)
    ]
    sealed = seal_window(WINDOW, CountedBatches(), batches, LATE_WINDOWS)
    body = encode_seal(sealed)
    sizes = {
        'sealed_bytes': len(json.dumps(body)),
        'figures_bytes': len(json.dumps(body['usage_by_team'])),
        'accounts_bytes': len(json.dumps(body['accounts'])),
    }
    sys.stdout.write(f'{json.dumps(sizes)}\n')


if __name__ == '__main__':
    main()
