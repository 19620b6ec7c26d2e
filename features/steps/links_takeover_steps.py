"""Steps of links/takeover.feature."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.emulator._fleet import reserve_port
from acaciasaddle.emulator._store import MemoryTable
from acaciasaddle.emulator._store import StoreState
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.keyspace import Coordinator
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.keyspace._role import COORDINATOR_KEY
from acaciasaddle.keyspace._role import ROLE_LEASE_S
from acaciasaddle.keyspace._role import TAKEOVER_S
from acaciasaddle.keyspace._role import CoordinatorRole
from acaciasaddle.links import Links
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

LINKED_WITHIN_S = 4.0
TAKEOVER_WITHIN_S = 4.0
TAKEOVER_DELAY_S = 60.0
"""Takeover delay of "h2" and "h3", so that "h1" takes the role first. That of "h3" is removed once
all hosts are linked."""


@dataclass(kw_only=True)
class _Host:
    """A coordinator and its links, with a table of its own over the shared store."""

    coordinator: Coordinator
    links: Links
    table: MemoryTable
    view: FleetView

    @classmethod
    async def create(cls, name: str, store: TableStore) -> _Host:
        clock = TrioClock(wall_offset=0.0)
        view = FleetView(clock=clock)
        view.apply_configuration(
            Configuration(version=1, routes=(), services={}, limits=CallerLimits())
        )
        view.apply_registry(RegistryChange(revision=1, complete=True, entries={}))
        table = MemoryTable(store=store)
        address = f"127.0.0.1:{reserve_port()}"
        orders: Any = None
        load = LoadHistory()
        coordinator = Coordinator(
            member=f"{name}@1",
            address=address,
            view=view,
            table=table,
            orders=orders,
            clock=clock,
            load=load,
            max_lease_s=10.0,
            takeover_delay_s=0.0 if name == "h1" else TAKEOVER_DELAY_S,
        )
        links = Links(
            host_id=name,
            address=address,
            view=view,
            coordinator=coordinator,
            load=load,
            clock=clock,
            take_samples=list,
            busy=dict,
        )
        coordinator.linked = links.linked
        return cls(coordinator=coordinator, links=links, table=table, view=view)

    async def keep_reading(self) -> None:
        """Keep the view's ages small, as the watcher does on a host that reaches the store."""
        while True:
            if self.table.faults.store is not StoreState.DOWN:
                self.view.note_configuration_read()
                self.view.note_registry_read(age_s=0.0)
            await trio.sleep(0.05)


async def _becomes_true(condition: Callable[[], bool], within_s: float) -> bool:
    with trio.move_on_after(within_s):
        while not condition():
            await trio.sleep(0.02)
        return True
    return False


class RefusedHostsSteps:
    """Guards against hosts that stay without a coordinator because they cannot read the store."""

    @staticmethod
    @given('three linked hosts of which "h1" has the role')
    def linked_hosts(context: Any) -> None:
        context.refused_hosts = []

    @staticmethod
    @when("the store refuses {names}")
    def refuse(context: Any, names: str) -> None:
        context.refused_hosts = [name.strip('"') for name in names.split(" and ")]

    @staticmethod
    def _run_hosts(context: Any, check: Callable[[dict[str, _Host]], Awaitable[str]]) -> None:
        """Run the hosts; ``check`` returns a description of the problem, or an empty string."""

        async def main() -> None:
            store = TableStore()
            hosts = {name: await _Host.create(name, store) for name in ("h1", "h2", "h3")}
            async with trio.open_nursery() as nursery:
                for host in hosts.values():
                    await nursery.start(host.links.run)
                    nursery.start_soon(host.coordinator.run)
                    nursery.start_soon(host.keep_reading)
                others = [hosts["h2"].links, hosts["h3"].links]
                linked = await _becomes_true(
                    lambda: all(links.is_up_to_date() and links.hosts == 3 for links in others),
                    LINKED_WITHIN_S,
                )
                hosts["h3"].coordinator._role._takeover_delay_s = 0.0
                for name in context.refused_hosts:
                    hosts[name].table.faults.store = StoreState.DOWN
                problem = await check(hosts) if linked else "the hosts are not linked"
                nursery.cancel_scope.cancel()
            assert not problem, problem

        trio.run(main)

    @staticmethod
    @then('"{name}" is linked to "{other}" within {seconds:g} s of the takeover')
    def linked(context: Any, name: str, other: str, seconds: float) -> None:
        async def check(hosts: dict[str, _Host]) -> str:
            coordinator = hosts[other].coordinator
            if not await _becomes_true(lambda: coordinator.leading, TAKEOVER_WITHIN_S):
                return "no takeover"
            host = hosts[name]
            if not await _becomes_true(host.links.is_up_to_date, seconds):
                return "the host is not linked"
            found = host.coordinator.coordinator_address
            return "" if found == coordinator.address else f"linked to {found}"

        RefusedHostsSteps._run_hosts(context, check)

    @staticmethod
    @then("no host has the role after {seconds:g} s, and none is linked")
    def no_takeover(context: Any, seconds: float) -> None:
        async def check(hosts: dict[str, _Host]) -> str:
            await trio.sleep(seconds)
            leading = [name for name, host in hosts.items() if host.coordinator.leading]
            linked = [name for name, host in hosts.items() if host.links.linked()]
            return f"leading: {leading}, linked: {linked}" if leading or linked else ""

        RefusedHostsSteps._run_hosts(context, check)


class LostRoleSteps:
    """Guards against a former coordinator that overwrites the role's row at its current version."""

    @staticmethod
    @given("a host whose role lapsed while another host took it")
    def lapsed(context: Any) -> None:
        context.role_table = MemoryTable(store=TableStore())

    @staticmethod
    def _role(name: str, table: MemoryTable) -> CoordinatorRole:
        return CoordinatorRole(
            member=f"{name}@1",
            address=f"{name}:1",
            table=table,
            clock=TrioClock(wall_offset=0.0),
            takeover_delay_s=0.0,
        )

    @staticmethod
    @when("the host learns of the other host and then tries to {act}")
    def learns(context: Any, act: str) -> None:
        async def main() -> None:
            first, second = (LostRoleSteps._role(name, context.role_table) for name in ("h1", "h2"))
            await first.poll()
            await first.try_take()
            first.taken = True
            await trio.sleep(ROLE_LEASE_S + TAKEOVER_S)
            await second.poll()
            await trio.sleep(TAKEOVER_S)
            assert await second.poll() <= 0
            await second.try_take()
            context.other_role = second
            first.note_row(member="h2@1", address="h2:1", version=second.version, age_s=0.1)
            assert not first.taken
            try:
                if act == "write owners":
                    await first.write({"owners/s": 0}, {"owners/s": {}})
                else:
                    await first.give_back()
            except ConditionFailedError:
                pass

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @staticmethod
    @then("the other host still has the role, at its version")
    def kept(context: Any) -> None:
        row = context.role_table.store.read(COORDINATOR_KEY)
        assert (row.value["member"], row.version) == ("h2@1", context.other_role.version)
        assert context.role_table.store.read("owners/s") is None
