"""Sessions, leases, fencing, journals and replication over an object store."""

import lazy_loader

# The names are imported from their modules when they are first used, so that
# a process loads only what it needs; the stub beside this file lists them.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
