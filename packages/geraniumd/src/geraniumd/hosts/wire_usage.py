"""Cap'n Proto encoding of usage batches."""

from typing import Any

from geranium_coordination import UsageBatch
from geranium_model import Usage


def batch_fields(batch: UsageBatch) -> dict[str, Any]:
    """Return the schema fields of a usage batch."""
    return {
        'origin': batch.origin,
        'sequence': batch.sequence,
        'window': batch.window,
        'usage': [
            {
                'team': team,
                'promptTokens': usage.prompt_tokens,
                'generatedTokens': usage.generated_tokens,
                'requests': usage.requests,
            }
            for team, usage in batch.usage_by_team.items()
        ],
    }


def read_batch(row: Any) -> UsageBatch:
    """Return the usage batch of a Cap'n Proto reader."""
    return UsageBatch(
        row.origin,
        row.sequence,
        row.window,
        {
            used.team: Usage(
                used.promptTokens,
                used.generatedTokens,
                used.requests,
            )
            for used in row.usage
        },
    )
