"""What an engine is set to and whether it takes work."""

import dataclasses
import enum

from geranium_model import Role

from .exceptions import RefusedError


class Transition(enum.Enum):
    """What keeps an engine from taking work for a while."""

    ROLE = 'changing-role'
    LOAD = 'loading'


@dataclasses.dataclass(slots=True)
class EngineState:
    """An engine's model, role and readiness."""

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
        """The state as load reports name it."""
        if self.transition is not None:
            return self.transition.value
        return 'draining' if self.is_draining else 'live'

    def check_accepts(self, refused_role: Role) -> None:
        """Check that the engine takes work that one role refuses.

        Raises:
            RefusedError: If it does not.
        """
        label = self.label
        if label != 'live':
            raise RefusedError(f'the engine is {label}')
        if self.role is refused_role:
            role = self.role.value
            raise RefusedError(f'the role is {role}')
