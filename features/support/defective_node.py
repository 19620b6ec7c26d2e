"""Runs a node with one deliberate defect, to test that the checks of the soak detect it.

Usage: ``python -m features.support.defective_node DEFECT SETTINGS``. Each function installs one
defect by patching the node's classes or modules.
"""

from __future__ import annotations

import itertools
import math
import os
import signal
import sys
from dataclasses import replace
from typing import Any

import trio

from acaciasaddle.callers import CallerConnection
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformError
from acaciasaddle.fleet import FleetView
from acaciasaddle.forward import _forwarder
from acaciasaddle.kernel import Kernel
from acaciasaddle.keyspace import KEY_COUNT
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace._grants import LeaseManager
from acaciasaddle.keyspace._role import CoordinatorRole
from acaciasaddle.node import run_node
from acaciasaddle.platform import PlatformDialect
from acaciasaddle.platform import PlatformOrders

GIVE_UP_S = 0.3


def _resend_at_most_once() -> None:
    _forwarder._PendingRequest.repeatable = property(lambda self: True)


def _report_failed_as_not_run() -> None:
    failed = _forwarder._failed

    def failed_not_run(*args: Any, **kwargs: Any) -> Any:
        return failed(*args, **{**kwargs, "status": 503})

    _forwarder._failed = failed_not_run


def _skip_release() -> None:
    async def reclaim_keys(self: Any, span: Any, owner: Any) -> str:
        return ""

    LeaseManager.reclaim_keys = reclaim_keys


def _send_earlier_response() -> None:
    caller_response = _forwarder._caller_response
    responses: list[Any] = []

    def response_or_earlier(resp: Any) -> Any:
        responses.append(caller_response(resp))
        return responses[-2] if len(responses) % 10 == 0 else responses[-1]

    _forwarder._caller_response = response_or_earlier


def _grant_half() -> None:
    grant = PlatformOrders.grant

    async def grant_half(self: Any, owner: Any, keys: KeyRange, **kwargs: Any) -> None:
        # No key of the upper half is granted, however the keys are divided into spans.
        lower = KeyRange(keys.first, min(keys.last, KEY_COUNT // 2 - 1))
        if lower.size > 0:
            await grant(self, owner, lower, **kwargs)

    PlatformOrders.grant = grant_half


def _ignore_configuration_changes() -> None:
    apply = FleetView.apply_configuration

    def apply_first_only(self: Any, cfg: Any) -> None:
        if self.configuration is None:
            apply(self, cfg)
        else:
            apply(self, replace(self.configuration, version=cfg.version))

    FleetView.apply_configuration = apply_first_only


def _ignore_sigterm() -> None:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    Kernel.shutdown = lambda self: None


def _ignore_leaving() -> None:
    PlatformDialect.is_leaving = lambda self, *args: False
    PlatformOrders._check_leaving = lambda self, *args: None


def _ignore_pauses() -> None:
    PlatformDialect.requested_pause_s = lambda self, *args: None


def _exit_without_store() -> None:
    renew = CoordinatorRole._renew

    async def renew_or_exit(self: Any, *args: Any) -> Any:
        try:
            return await renew(self, *args)
        except ConditionFailedError:
            # The store works: another host has the role, or a row has changed.
            raise
        except PlatformError:
            os._exit(3)

    CoordinatorRole._renew = renew_or_exit


def _close_before_response() -> None:
    send = CallerConnection._send
    responses = itertools.count(1)

    async def send_or_close(self: Any, *args: Any, **kwargs: Any) -> None:
        if next(responses) % 10 == 0:
            raise trio.BrokenResourceError
        await send(self, *args, **kwargs)

    CallerConnection._send = send_or_close


def _answer_for_upstreams() -> None:
    send = _forwarder.Forwarder._send

    async def send_or_give_up(self: Any, pending: Any, upstream: Any) -> Any:
        with trio.move_on_after(math.inf if self._stop is None else GIVE_UP_S):
            return await send(self, pending, upstream)
        raise _forwarder._failed("the host stops", "send", pending, status=502)

    _forwarder.Forwarder._send = send_or_give_up


DEFECTS = {
    "resends at-most-once requests": _resend_at_most_once,
    "reports failed requests as not run": _report_failed_as_not_run,
    "moves keys without a release": _skip_release,
    "sends an earlier response": _send_earlier_response,
    "grants only half of the keys": _grant_half,
    "ignores configuration changes": _ignore_configuration_changes,
    "does not stop": _ignore_sigterm,
    "ignores upstreams that leave": _ignore_leaving,
    "ignores upstreams that ask to wait": _ignore_pauses,
    "ends when the store fails": _exit_without_store,
    "closes connections before a response": _close_before_response,
    "answers for upstreams when it stops": _answer_for_upstreams,
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    run_node(sys.argv[2])
