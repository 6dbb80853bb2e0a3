"""Quotas over all gateways: demand, and the slices and reserves that follow from it. No I/O."""
