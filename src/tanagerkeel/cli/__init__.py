"""Command lines: one public module for each executable."""
