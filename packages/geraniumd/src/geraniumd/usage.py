"""Meters what teams use on this daemon."""

from geranium_model import Usage

from .telemetry import Telemetry


class UsageMeter:
    """Sums the usage of each team since the daemon started."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self.usage_by_team: dict[str, Usage] = {}

    def add(self, team: str, service: str, usage: Usage) -> None:
        """Count what a request of the team used."""
        self.usage_by_team[team] = self.usage_by_team.get(team, Usage()) + usage
        self._telemetry.tokens.add(
            usage.prompt_tokens,
            {'service': service, 'kind': 'prompt'},
        )
        self._telemetry.tokens.add(
            usage.generated_tokens,
            {'service': service, 'kind': 'generated'},
        )
