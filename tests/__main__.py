"""Entry point of ``python -m tests``."""

import sys

from tests.runner import main

if __name__ == "__main__":
    sys.exit(main())
