"""Steps of keyspace/leases.feature, without a network or a real clock."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.keyspace._leases import OwnerState
from acaciasaddle.keyspace._leases import lease_end
from acaciasaddle.keyspace._role import CoordinatorRole
from acaciasaddle.model import revision_of
from acaciasaddle.table import Scan
from acaciasaddle.table import Table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.model import Row

TIMEOUT_S = 0.8
GRANTS = st.lists(
    st.tuples(
        st.floats(min_value=0, max_value=20),  # sent at
        st.floats(min_value=0, max_value=1),  # answered this much later
        st.sampled_from([3.5, 10.0]),
        st.booleans(),  # carried out
    ),
    min_size=1,
    max_size=12,
)


class LeaseSteps:
    """Guards against keys that are granted elsewhere while their owner may still hold them."""

    @staticmethod
    @given("an owner whose leases have ended")
    def owner(context: Any) -> None:
        context.state = OwnerState(settled_until=0.0)

    @staticmethod
    @when("a grant of {lease:g} s is sent at {at:g} s")
    def send(context: Any, lease: float, at: float) -> None:
        context.first = context.state.record_grant(now=at, timeout_s=TIMEOUT_S, lease_s=lease)

    @staticmethod
    @when("a grant of {lease:g} s is sent at {at:g} s and carried out")
    def send_and_carry_out(context: Any, lease: float, at: float) -> None:
        number = context.state.record_grant(now=at, timeout_s=TIMEOUT_S, lease_s=lease)
        context.state.settle_grant(number, carried_out=True)

    @staticmethod
    @when("the first grant turns out not to have been carried out")
    def refuse_first(context: Any) -> None:
        context.state.settle_grant(context.first, carried_out=False)

    @staticmethod
    @then("the owner may hold keys until at least {until:g} s")
    def held(context: Any, until: float) -> None:
        assert context.state.held_until >= until, context.state.held_until

    @staticmethod
    @when("grants are sent and answered in many arbitrary orders")
    def many(context: Any) -> None:
        context.noted: list[tuple[float, float]] = []

        @settings(derandomize=True, database=None, deadline=None, max_examples=300)
        @arbitrary(GRANTS)
        def run(grants: list[tuple[float, float, float, bool]]) -> None:
            context.noted.append(LeaseSteps._play(grants))

        run()

    @staticmethod
    def _play(grants: list[tuple[float, float, float, bool]]) -> tuple[float, float]:
        """Return the noted end of the leases, and the latest end of a lease carried out."""
        state = OwnerState(settled_until=0.0)
        numbers: dict[int, int] = {}
        events = [(sent, 0, index) for index, (sent, _, _, _) in enumerate(grants)]
        events += [(sent + delay, 1, index) for index, (sent, delay, _, _) in enumerate(grants)]
        ends = [0.0]
        for at, is_answer, index in sorted(events):
            _, _, lease_s, carried_out = grants[index]
            if not is_answer:
                numbers[index] = state.record_grant(now=at, timeout_s=TIMEOUT_S, lease_s=lease_s)
                continue
            state.settle_grant(numbers[index], carried_out=carried_out)
            if carried_out:
                ends.append(lease_end(grants[index][0] + TIMEOUT_S, lease_s))
                assert state.held_until >= max(ends)
        return state.held_until, max(ends)

    @staticmethod
    @then("no lease of a grant that may have been carried out ends after the noted time")
    def none_missed(context: Any) -> None:
        assert all(noted >= end for noted, end in context.noted)

    @staticmethod
    @then("a grant that was certainly not carried out is not waited for")
    def none_added(context: Any) -> None:
        assert all(noted == end for noted, end in context.noted)


class _EmptyTable(Table):
    """A table without rows in a store of a given era."""

    def __init__(self, *, era: int) -> None:
        self._era = era

    @property
    def era(self) -> int:
        return self._era

    async def read(self, key: str) -> Row | None:
        return None

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        return Scan(revision=revision_of(self._era, 7), rows=())

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> tuple[Row, ...]:
        raise NotImplementedError


class RoleWithoutRowSteps:
    """Guards against a role that is taken while leases of an unknown earlier era run."""

    @staticmethod
    @given("a store of era {era:d} without rows of the router")
    def store(context: Any, era: int) -> None:
        context.empty_table = _EmptyTable(era=era)

    @staticmethod
    @when("a host that has just started polls the role")
    def poll(context: Any) -> None:
        async def main() -> float:
            role = CoordinatorRole(
                member="h1@1",
                address="127.0.0.1:1",
                table=context.empty_table,
                clock=TrioClock(),
                takeover_delay_s=0.0,
            )
            return await role.poll()

        context.wait_s = trio.run(main, clock=MockClock())

    @staticmethod
    @then("it may take the role after {seconds:g} s")
    def waits(context: Any, seconds: float) -> None:
        assert abs(context.wait_s - seconds) < 0.01, context.wait_s
