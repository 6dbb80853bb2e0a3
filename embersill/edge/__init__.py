"""The whole gateway: finds gateways and backends itself, keeps the configuration, carries the traffic."""
