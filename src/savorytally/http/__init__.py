"""HTTP towards callers, the local upstream, the platform and operators."""
