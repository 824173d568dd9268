"""Gateways: all network I/O, with one package for each external system."""
