"""The other gateways: who is linked, and the links themselves."""
