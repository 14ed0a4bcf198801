"""A fault soak: real entry processes against a stand-in of the platform, with faults by seed."""
