"""The whole gateway in simulated time: clusters, systems with traffic, failure scenarios, random days."""
