"""The whole gateway in simulated time: clusters, towns with traffic, scenarios, drawn days."""
