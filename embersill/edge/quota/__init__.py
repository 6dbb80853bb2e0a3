"""Demand of tenants over all gateways, and the slices that follow from it. No I/O."""
