"""Steps of keyspace/leases.feature, without a network or a clock."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st

from acaciasaddle.keyspace._leases import OwnerState
from acaciasaddle.keyspace._leases import lease_end

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
