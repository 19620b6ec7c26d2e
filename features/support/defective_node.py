"""A node with one seeded defect: ``python -m features.support.defective_node DEFECT SETTINGS``."""

from __future__ import annotations

import os
import signal
import sys
from dataclasses import replace
from typing import Any

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformError
from acaciasaddle.fleet import FleetView
from acaciasaddle.forward import _forwarder
from acaciasaddle.kernel import Kernel
from acaciasaddle.keyspace._grants import LeaseManager
from acaciasaddle.keyspace._role import CoordinatorRole
from acaciasaddle.node import run_node


def _sends_again() -> None:
    _forwarder._PendingRequest.repeatable = property(lambda self: True)


def _denies() -> None:
    failed = _forwarder._failed

    def denied(*args: Any, **kwargs: Any) -> Any:
        return failed(*args, **{**kwargs, "status": 503})

    _forwarder._failed = denied


def _skips_release() -> None:
    async def reclaim_keys(self: Any, span: Any, owner: Any) -> str:
        return ""

    LeaseManager.reclaim_keys = reclaim_keys


def _mixes_answers() -> None:
    reply = _forwarder._reply
    earlier: list[Any] = []

    def mixed(resp: Any) -> Any:
        earlier.append(reply(resp))
        return earlier[-2] if len(earlier) % 10 == 0 else earlier[-1]

    _forwarder._reply = mixed


def _grants_half() -> None:
    grant = LeaseManager.grant

    async def half(self: Any, span: Any, *, handover: str = "") -> None:
        if span.keys.first < 32_768:
            await grant(self, span, handover=handover)

    LeaseManager.grant = half


def _ignores_configurations() -> None:
    apply = FleetView.apply_configuration

    def first_only(self: Any, cfg: Any) -> None:
        if self.configuration is None:
            apply(self, cfg)
        else:
            apply(self, replace(self.configuration, version=cfg.version))

    FleetView.apply_configuration = first_only


def _does_not_stop() -> None:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    Kernel.shutdown = lambda self: None


def _ends_without_store() -> None:
    renew = CoordinatorRole._renew

    async def checked(self: Any, *args: Any) -> Any:
        try:
            return await renew(self, *args)
        except ConditionFailedError:
            raise
        except PlatformError:
            os._exit(3)

    CoordinatorRole._renew = checked


DEFECTS = {
    "sends once-only work again": _sends_again,
    "says that failed work has not run": _denies,
    "moves keys without a release": _skips_release,
    "answers with an earlier answer": _mixes_answers,
    "grants only half of the keys": _grants_half,
    "follows no change of configuration": _ignores_configurations,
    "does not stop": _does_not_stop,
    "ends when the store fails": _ends_without_store,
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    run_node(sys.argv[2])
