"""Data classes and validated input models of the geraniumdrum serving system."""

import lazy_loader

# Names are imported lazily, so a process loads only the modules that it uses.
# The stub file __init__.pyi lists them.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
