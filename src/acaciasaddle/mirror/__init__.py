"""This host's copy of the rows of the platform's table, called the mirror."""

from __future__ import annotations

from acaciasaddle.mirror._configuration import Configuration
from acaciasaddle.mirror._configuration import UpstreamInfo
from acaciasaddle.mirror._mirror import Mirror

__all__ = ["Configuration", "Mirror", "UpstreamInfo"]
