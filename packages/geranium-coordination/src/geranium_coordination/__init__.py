"""Sessions, leases, fencing, journals and replication over an object store."""

import lazy_loader

# Names are imported from their modules on first use, so that a process loads
# only the modules it needs. The stub file next to this one lists the names.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
