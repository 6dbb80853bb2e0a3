"""The gateway's sockets: clients, backends, discovery and the counter, and the driver that joins them."""
