"""A kernel that starts services in order, stops them in reverse order and finds them by class."""

from __future__ import annotations

from acaciasaddle.kernel._kernel import Kernel
from acaciasaddle.kernel._kernel import Service
from acaciasaddle.kernel._listen import open_listening_socket

__all__ = ["Kernel", "Service", "open_listening_socket"]
