"""Errors that decoders raise for input that does not come from this program."""

from __future__ import annotations

import msgspec

DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
"""Errors of ``msgspec``, ``json`` and ``base64`` for any input.

Decoders raise ``RecursionError`` for input that is nested too deeply, also within a field that they
skip. ``ValueError`` includes invalid Base64, invalid UTF-8 and integers of thousands of digits.
"""
