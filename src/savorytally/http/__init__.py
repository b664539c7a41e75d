"""HTTP servers and clients: callers, upstream, platform and operators."""
