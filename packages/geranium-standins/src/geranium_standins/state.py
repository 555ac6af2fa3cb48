"""Model, role and readiness of an engine."""

import dataclasses
import enum

from geranium_model import Role

from .exceptions import RefusedError


class Transition(enum.Enum):
    """Operation during which an engine accepts no work."""

    ROLE = 'changing-role'
    LOAD = 'loading'


@dataclasses.dataclass(slots=True)
class EngineState:
    """Mutable state of an engine."""

    model: str
    version: str
    role: Role
    is_draining: bool = False
    transition: Transition | None = None
    versions_by_adapter: dict[str, str] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def label(self) -> str:
        """State name used in load reports."""
        if self.transition is not None:
            return self.transition.value
        return 'draining' if self.is_draining else 'live'

    def check_accepts(self, refused_role: Role) -> None:
        """Check that the engine accepts work that one role refuses.

        Raises:
            RefusedError: If the engine is not live or has that role.
        """
        label = self.label
        if label != 'live':
            raise RefusedError(f'the engine is {label}')
        if self.role is refused_role:
            role = self.role.value
            raise RefusedError(f'the role is {role}')
