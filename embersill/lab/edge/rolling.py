"""A town in which a policy is carried down the sites, and policies that harm by a planted fault."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from embersill.edge.dataplane.attempts import EdgeAttempts
from embersill.edge.configuration.document import Run, State
from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.rollouts import rollouts_of
from embersill.edge.configuration.stages import Site
from embersill.interface import Outcome, Repeats, Send
from embersill.lab.edge.fleet import change
from embersill.lab.edge.town import Gateway, SystemSimulation
from embersill.work import Job, Server

# all answers later; one in twenty; one in four refused; of those that must run once one in twenty sent on
# twice; one in a hundred lost
HARMS = "slows", "tail", "refuses", "doubles", "loses"
ZONES = "abc"
MARKED = "dispatch"
SITES: dict[str, Site] = {
    "a": {"asks": {"parcels": 20.0, MARKED: 0.0}, "zones": ["a"], "core": 1},
    "b": {"asks": {"parcels": 30.0, MARKED: 0.0}, "zones": ["b"], "core": 1},
    "c": {"asks": {"parcels": 20.0, MARKED: 40.0}, "zones": ["c"], "core": 1},
}
WATCH = 6.0  # seconds that a step is watched
ASKED = 120.0  # requests a second and zone
SLOWER = 0.25  # seconds that a policy that slows adds to each answer, and one with a tail to one in twenty


def wish(what: str | Policy, **more: Any) -> dict[str, Any]:
    """An operator's: an action, or a policy to start with."""
    if isinstance(what, str):
        return {"action": what, "by": "staff", **more}
    return {
        "action": "start",
        "by": "staff",
        "policy": what,
        "sites": SITES,
        "last": [MARKED],
        "most_share": 1.0,
        "watch_s": WATCH,
        **more,
    }


def run_of(state: State) -> Run:
    """The run that is under way."""
    run = rollouts_of(state)["run"]
    assert run is not None
    return run


class Planted(EdgeAttempts):
    """Attempts that go wrong under a policy named for it."""

    harm = ""

    def place(self, job: Job) -> None:
        """Refuses one request in four under `refuses`."""
        if self.harm == "refuses" and not job.attempts and job.request.id % 4 == 0:
            return self.give_up(job)
        return super().place(job)

    def may_send(self, job: Job, server: Server) -> bool:
        """Takes every request for repeatable under `doubles`."""
        klass = job.klass
        if self.harm == "doubles":  # takes what must run once for what may be repeated
            job.klass = replace(klass, repeats=Repeats.SAFE)
        allowed = super().may_send(job, server)
        job.klass = klass
        return allowed

    def send(self, job: Job, server: Server) -> None:
        """Forgets one request in a hundred under `loses`, once it is sent."""
        super().send(job, server)
        if self.harm == "loses" and job.klass.repeats is Repeats.ONCE and job.request.id % 100 == 0:
            del self.jobs[job.request.id]  # nobody will answer it


class Harmful(Gateway):
    """A gateway on which policies named for a harm do it."""

    def start_data_plane(self, first_start: bool) -> None:
        """Serves with attempts that go wrong under such policies."""
        super().start_data_plane(first_start)
        self.decider.attempts.__class__ = Planted
        self.decider.attempts.backends.may_send = self.decider.attempts.may_send
        for fleet in self.decider.backends.fleets.values():
            fleet.may_send = self.decider.attempts.may_send

    @property
    def planted(self) -> Planted:
        """The attempts of this gateway."""
        attempts = self.decider.attempts
        assert isinstance(attempts, Planted)
        return attempts

    def on_policy(self, policy: Policy, label: str) -> None:
        """Another policy, and with it another harm or none."""
        super().on_policy(policy, label)
        self.planted.harm = policy["name"] if policy["name"] in HARMS else ""

    def attempt_duration(self, action: Send, takes: float) -> float:
        """Seconds that an attempt lasts; longer under `slows` and `tail`."""
        slow = self.planted.harm == "slows" or self.planted.harm == "tail" and action.request % 20 == 0
        return takes + SLOWER if slow else takes

    def attempt_outcome(self, action: Send, attempt: int) -> Outcome:
        """How an attempt ends; some first ones break under `doubles`."""
        breaks = self.planted.harm == "doubles" and attempt == 0 and action.request % 20 == 0
        return Outcome.BROKEN if breaks else Outcome.SERVED


class RollTown(SystemSimulation):
    """A town in which policies are rolled out."""

    machine_type = Harmful
    tenants: dict[str, Any] = {}

    def past(self) -> dict[str, Any]:
        """The last run that is over, as any gateway has it; empty while there is none."""
        pasts = [rollouts_of(m.node.state)["past"] for m in self.machines if m.node is not None]
        longest = max(pasts, key=len, default=[])
        return {**longest[-1]} if longest else {}

    def start(self, policy: Policy) -> None:
        """An operator's order, sent until it is taken."""
        for number in range(40):
            heard = self.machines[number % len(self.machines)].call("rollout", wish(policy))
            self.run(0.6)
            if heard and heard[0].status == 200:
                return
        raise AssertionError("the policy was not taken")


def roll_town(seed: int, gateways: int = 9) -> RollTown:
    """Gateways in three zones, with callers of a tenant in each; half of what they ask must run once."""
    system = RollTown(seed, 3, gateways - 3, backends=36)
    system.run(3.0)
    system.tenants = {"t": {"api_keys": ["t"], "rate_per_s": 1000.0, "burst_size": 1000.0}}
    body = change(1, 0, 2)
    body["routes"]["r1"]["kind"] = "non_idempotent"
    system.machines[0].call("PUT", {**body, "tenants": system.tenants})
    system.run(1.0)
    system.run_until_converged()
    chance = system.kernel.stream("where")
    for zone in ZONES:
        there = [machine for machine in system.machines if machine.zone == zone]
        system.generate_traffic(
            "t",
            ASKED,
            lambda there=there: chance.choice(  # type: ignore[misc]
                [m for m in there if m.node is not None] or there
            ),
            system.kernel.now + 1000.0,
            2.0,
            1,
            zone,
            2,
        )
    return system
