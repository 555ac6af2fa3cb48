"""Routing, admission, retry, role and spend decisions as plain objects."""
