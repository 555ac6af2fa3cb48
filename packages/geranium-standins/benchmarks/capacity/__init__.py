"""Measurements from which ``docs/CAPACITY.md`` is derived."""
