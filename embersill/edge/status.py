"""A gateway's view of the system, for operators: members, counts and versions. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from embersill.edge.configuration.document import write_version

if TYPE_CHECKING:
    from embersill.edge.node import Node


def status_of(node: Node) -> dict[str, object]:
    """The body of a status answer, as described by `Status` in openapi.json."""
    roster, version = node.agreement.roster, node.state["version"]
    short = node.founding.shortfall()
    silent_shares = node.demand.silent_shares(node.now)
    backends: dict[str, dict[str, int]] = {}
    for one in node.registry.instances.known.values():
        state = "lost" if one.lost else one.state
        counts = backends.setdefault(one.service, {})
        counts[state] = counts.get(state, 0) + 1
    return {
        "node_name": node.me.name,
        "build": dict(node.build),
        "zone": node.me.zone,
        "version": write_version(version),
        "core": node.me.core,
        "votes": node.agreement.votes,
        "epoch": roster.epoch if roster is not None else 0,
        "members": {name: name in node.peers.core for name in sorted(roster.members if roster else ())},
        "short": str(short) if short is not None else "",
        "keeper": node.peers.keeper(node.me.zone),
        "gateways": node.peers.count,
        "quota_share": node.quota_share.width,
        "quotas_set_aside": {name: round(share, 4) for name, share in sorted(silent_shares.items())},
        "directory_complete": node.directory.complete,
        "linked": sorted(node.peers.linked),
        "behind": sorted(
            name for name in node.peers.linked if not node.distribution.has_version(name, (version, 0))
        ),
        "backends": backends,
        "summed_here": len(node.demand.sums.accounts),
    }
