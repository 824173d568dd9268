"""Benchmarks; modules without an underscore run as ``python -m bench.NAME``."""
