"""Starts a node after a mutant has patched its modules."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[3]
for folder in ("src", "platform"):
    sys.path.insert(0, str(ROOT / folder))


def start() -> None:
    """Run the node until it is stopped."""
    from panunumpa._main import main

    main()
