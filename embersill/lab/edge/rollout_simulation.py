"""Simulation of policy rollouts over sites, with policies that trigger an injected fault."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from embersill.edge.configuration.document import Run, State
from embersill.edge.configuration.policy import Policy
from embersill.edge.configuration.rollouts import rollouts_of
from embersill.edge.configuration.stages import Site
from embersill.edge.dataplane.attempts import EdgeAttempts
from embersill.interface import Outcome, Repeats, Send
from embersill.lab.edge.fleet import change
from embersill.lab.edge.system_simulation import Gateway, SystemSimulation
from embersill.work import Job, Server

# slows: all answers are late; tail: one in twenty is late; refuses: one in four is refused; doubles: one in
# twenty that must not be repeated is sent twice; loses: one in a hundred is never answered
HARMS = "slows", "tail", "refuses", "doubles", "loses"
ZONES = "abc"
MARKED_TENANT = "dispatch"
SITES: dict[str, Site] = {
    "a": {"asks": {"parcels": 20.0, MARKED_TENANT: 0.0}, "zones": ["a"], "core": 1},
    "b": {"asks": {"parcels": 30.0, MARKED_TENANT: 0.0}, "zones": ["b"], "core": 1},
    "c": {"asks": {"parcels": 20.0, MARKED_TENANT: 40.0}, "zones": ["c"], "core": 1},
}
WATCH_S = 6.0  # how long each step is watched
REQUESTS_PER_S = 120.0  # per zone
ADDED_LATENCY_S = 0.25  # added to answers by the policies `slows` and `tail`


def rollout_request(action_or_policy: str | Policy, **fields: Any) -> dict[str, Any]:
    """The body of an operator's request: an action, or the start of a policy's rollout."""
    if isinstance(action_or_policy, str):
        return {"action": action_or_policy, "by": "staff", **fields}
    return {
        "action": "start",
        "by": "staff",
        "policy": action_or_policy,
        "sites": SITES,
        "last": [MARKED_TENANT],
        "most_share": 1.0,
        "watch_s": WATCH_S,
        **fields,
    }


def current_run(state: State) -> Run:
    """The rollout run in progress."""
    run = rollouts_of(state)["run"]
    assert run is not None
    return run


class FaultyAttempts(EdgeAttempts):
    """Attempts with a fault that depends on the name of the policy in force."""

    harm = ""

    def place(self, job: Job) -> None:
        """Refuses one request in four under `refuses`."""
        if self.harm == "refuses" and not job.attempts and job.request.id % 4 == 0:
            return self.give_up(job)
        return super().place(job)

    def may_send(self, job: Job, server: Server) -> bool:
        """Treats every request as repeatable under `doubles`."""
        klass = job.klass
        if self.harm == "doubles":
            job.klass = replace(klass, repeats=Repeats.SAFE)
        allowed = super().may_send(job, server)
        job.klass = klass
        return allowed

    def send(self, job: Job, server: Server) -> None:
        """Forgets one request in a hundred under `loses`, after sending it."""
        super().send(job, server)
        if self.harm == "loses" and job.klass.repeats is Repeats.ONCE and job.request.id % 100 == 0:
            del self.jobs[job.request.id]  # it will never be answered


class FaultyGateway(Gateway):
    """A gateway on which a policy named after a fault triggers that fault."""

    def start_data_plane(self, first_start: bool) -> None:
        """Replaces the attempts of the data plane by faulty ones."""
        super().start_data_plane(first_start)
        self.decider.attempts.__class__ = FaultyAttempts
        self.decider.attempts.backends.may_send = self.decider.attempts.may_send
        for fleet in self.decider.backends.fleets.values():
            fleet.may_send = self.decider.attempts.may_send

    @property
    def faulty_attempts(self) -> FaultyAttempts:
        """The attempts of this gateway."""
        attempts = self.decider.attempts
        assert isinstance(attempts, FaultyAttempts)
        return attempts

    def on_policy(self, policy: Policy, label: str) -> None:
        """Applies a policy, and the fault that it is named after, if any."""
        super().on_policy(policy, label)
        self.faulty_attempts.harm = policy["name"] if policy["name"] in HARMS else ""

    def attempt_duration(self, action: Send, service_time_s: float) -> float:
        """The duration of an attempt; longer under `slows` and `tail`."""
        slow = (
            self.faulty_attempts.harm == "slows"
            or self.faulty_attempts.harm == "tail"
            and action.request % 20 == 0
        )
        return service_time_s + ADDED_LATENCY_S if slow else service_time_s

    def attempt_outcome(self, action: Send, attempt: int) -> Outcome:
        """How an attempt ends; one in twenty first attempts breaks under `doubles`."""
        breaks = self.faulty_attempts.harm == "doubles" and attempt == 0 and action.request % 20 == 0
        return Outcome.BROKEN if breaks else Outcome.SERVED


class RolloutSimulation(SystemSimulation):
    """A simulation in which policies are rolled out."""

    machine_type = FaultyGateway
    tenants: dict[str, Any] = {}

    def last_finished_run(self) -> dict[str, Any]:
        """The last finished rollout run known to any gateway; empty if there is none."""
        finished_runs = [rollouts_of(m.node.state)["past"] for m in self.machines if m.node is not None]
        longest = max(finished_runs, key=len, default=[])
        return {**longest[-1]} if longest else {}

    def start_rollout(self, policy: Policy) -> None:
        """Requests a policy's rollout at one gateway after another until it is accepted."""
        for number in range(40):
            verdicts = self.machines[number % len(self.machines)].call("rollout", rollout_request(policy))
            self.run(0.6)
            if verdicts and verdicts[0].status == 200:
                return
        raise AssertionError("the rollout request was not accepted")


def rollout_simulation(seed: int, gateways: int = 9) -> RolloutSimulation:
    """Gateways in three zones, each with callers of one tenant; half of their requests must run once."""
    system = RolloutSimulation(seed, 3, gateways - 3, backends=36)
    system.run(3.0)
    system.tenants = {"t": {"api_keys": ["t"], "rate_per_s": 1000.0, "burst_size": 1000.0}}
    body = change(1, 0, 2)
    body["routes"]["r1"]["kind"] = "non_idempotent"
    system.machines[0].call("PUT", {**body, "tenants": system.tenants})
    system.run(1.0)
    system.run_until_converged()
    chance = system.kernel.stream("where")
    for zone in ZONES:
        machines = [machine for machine in system.machines if machine.zone == zone]
        system.generate_traffic(
            "t",
            REQUESTS_PER_S,
            lambda machines=machines: chance.choice(  # type: ignore[misc]
                [m for m in machines if m.node is not None] or machines
            ),
            system.kernel.now + 1000.0,
            2.0,
            1,
            zone,
            2,
        )
    return system
