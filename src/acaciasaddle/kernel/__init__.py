"""A kernel that starts services in order, stops them in reverse order and finds them by class."""

from __future__ import annotations

from acaciasaddle.kernel._kernel import Kernel
from acaciasaddle.kernel._kernel import Service

__all__ = ["Kernel", "Service"]
