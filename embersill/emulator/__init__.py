"""An emulated site: customers, gateways with the real decision module, and a shared counter. No I/O."""
