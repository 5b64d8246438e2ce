"""Shifts a process's wall clock by an offset from the environment."""

import os
import time

_OFFSET_S = float(os.environ.get('SOAK_CLOCK_OFFSET_S', '0'))

if _OFFSET_S:
    _time = time.time
    _time_ns = time.time_ns

    def _shifted() -> float:
        return _time() + _OFFSET_S

    def _shifted_ns() -> int:
        return _time_ns() + int(_OFFSET_S * 1e9)

    time.time = _shifted
    time.time_ns = _shifted_ns
