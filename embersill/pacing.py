"""When a gateway calls discovery, so that a fleet of gateways does not overload it. No I/O, no clock.

Where the list is pushed, an agent on the gateway's machine answers at no cost and is called again at once.
Where it must be polled, one service of fixed capacity serves all gateways. It goes on working on calls whose
callers have given up, so that a fleet which starts and retries in step keeps it busy with calls that all
fail. So calls are spread over the time in which the service can answer each gateway once.
"""

from __future__ import annotations

import random

# The first and the longest wait before a failed call of the agent is repeated; it doubles in between. What
# the agent knows after an outage counts as known to the gateway: with a longer wait requests may go to
# backends that have begun to drain.
AGENT_FIRST_RETRY_S, AGENT_MAX_RETRY_S = 0.05, 0.2
SERVICE_MIN_RETRY_BOUND_S = 1.0  # least value of the longest wait for a service that all gateways share
AGENT_TIMEOUT_S = 2.0  # for an answer, beyond the wait that a watch asks for
# The time-out of a call that is answered without waiting. A call made while the agent is down is never
# answered, and the next one follows it: with the wait between them it must stay below a drain's 0.5 s.
AGENT_LIST_TIMEOUT_S = 0.25
SERVICE_CALLS_PER_S = 5.0  # calls of all gateways together that a shared service is assumed to serve
SERVICE_MAX_SPREADS = 2.0  # times the spread, to which the mean wait may grow
SERVICE_TIMEOUT_S = 6.0  # long, because the service's work on an abandoned call is wasted


class DiscoveryPacing:
    """Computes the waits of one gateway between its calls of discovery, in seconds."""

    def __init__(self, pushed: bool = True, gateways: int = 1, seed: int = 0) -> None:
        """`pushed`: the list comes from an agent on this machine, whose calls cost nothing."""
        self.pushed = pushed
        self.random = random.Random(seed)
        self.answer_timeout = AGENT_TIMEOUT_S if pushed else SERVICE_TIMEOUT_S
        # for a call that asks for the whole list, not for changes
        self.list_timeout = AGENT_LIST_TIMEOUT_S if pushed else SERVICE_TIMEOUT_S
        self.spread = gateways / SERVICE_CALLS_PER_S
        self.base = AGENT_FIRST_RETRY_S if pushed else max(self.spread, AGENT_FIRST_RETRY_S)
        self.max_wait = (
            AGENT_MAX_RETRY_S if pushed else max(SERVICE_MAX_SPREADS * self.spread, SERVICE_MIN_RETRY_BOUND_S)
        )
        self.wait = self.base

    def first(self) -> float:
        """The time until the first call, random so that gateways which start together spread their calls."""
        return 0.0 if self.pushed else self.random.random() * self.spread

    def answered(self) -> None:
        """Notes a successful call: the back-off starts anew."""
        self.wait = self.base

    def failed(self) -> float:
        """The time until a failed call is repeated; the next one is twice as long, up to a bound."""
        wait, self.wait = self.wait, min(2 * self.wait, self.max_wait)
        return wait if self.pushed else wait * (0.5 + self.random.random())
