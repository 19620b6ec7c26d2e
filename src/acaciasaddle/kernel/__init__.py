"""A kernel that starts services in order and lets them find each other by name."""

from __future__ import annotations

from acaciasaddle.kernel._kernel import Kernel
from acaciasaddle.kernel._kernel import Service

__all__ = ["Kernel", "Service"]
