"""A model of a site: customers, gateways with the real module, and a counter that can be crowded. No I/O."""
