"""Routing, admission, retry, role and spend decisions as plain objects.

Exports the names that a daemon needs. Baselines and further settings are in
the modules.
"""

import lazy_loader

# Names are imported lazily on first use, so that a process loads only the
# modules that it needs. The stub file __init__.pyi lists the names.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
