"""The gRPC rate limit service: server (answering) and client (asking). See docs/design/ratelimit.md."""
