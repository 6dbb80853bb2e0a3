"""The gRPC rate limit service, both ways: answering and asking. See docs/design/ratelimit.md."""
