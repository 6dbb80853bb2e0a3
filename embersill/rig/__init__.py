"""Test rig: deployments of real processes, network faults, stand-ins, traffic and its audit."""
