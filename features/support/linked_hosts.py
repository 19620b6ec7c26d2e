"""Links of several hosts, the first of which is the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.emulator._fleet import reserve_port
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.links import Links

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView


class _FakeCoordinator:
    """Replaces the coordinator of one host."""

    def __init__(self, *, leading: bool, address: str) -> None:
        self.leading = leading
        self.role_version = 1
        self.role_age_s = 0.1
        self.coordinator_address = address
        self.holder = "h0@1"

    def note_role(self, *, member: str, address: str, version: int, age_s: float) -> None:
        """Do nothing: no scenario depends on the noted role."""


def make_links(views: list[FleetView], clock: Clock) -> list[Links]:
    """Return the links of one host for each view. All know that the first is the coordinator."""
    addresses = [f"127.0.0.1:{reserve_port()}" for _ in views]
    links = []
    for index, view in enumerate(views):
        coordinator: Any = _FakeCoordinator(leading=index == 0, address=addresses[0])
        links.append(
            Links(
                host_id=f"h{index}",
                address=addresses[index],
                view=view,
                coordinator=coordinator,
                load=LoadHistory(),
                clock=clock,
                take_samples=list,
                busy=dict,
            )
        )
    return links
