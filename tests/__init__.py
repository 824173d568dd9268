"""The tests. They use the sources of this checkout, whatever ``PYTHONPATH`` holds."""

import pathlib
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "platform")]
