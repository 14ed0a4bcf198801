"""Fault soak: runs real entry processes against a simulated platform and injects seeded faults."""
