"""Measures quotas over many gateways with a scarce counter: `python -m benchmarks.scarce_counter`.

Runs the same requests (paired seeds) through the current module and, with `--before COMMIT`, through that
commit's, with the real module at every gateway, and compares both with one token bucket per customer. The
last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import random
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.history import ROOT, extract_commit
from embersill.emulator.demand import MEAN_REQUEST_UNITS, PlanShare, draw_customers, draw_requests
from embersill.emulator.fleet import Fleet, Site
from embersill.rig.settings import settings_object
from embersill.settings import read_settings

# ranges of units/s and of burst in seconds; value, value beyond the quota, and cost beyond the quota
PLANS = {
    "basis": ((1.2, 2.1), (3.0, 5.2), 0.88, 0.0, 1.0),
    "plus": ((2.3, 4.0), (3.3, 5.7), 1.3, 0.3, 0.0),
    "pro": ((9.1, 16.0), (1.1, 2.8), 1.4, 0.0, 0.8),
}
PLAN_SHARES = {"basis": 0.35, "plus": 0.30, "pro": 0.35}
MAX_REQUEST_UNITS = 8  # each bucket holds at least two such requests
CEILING_FACTORS = (1.7, 2.6)  # hard limit relative to the quota
CLASS_SHARES = [("lookup", 0.60), ("report", 0.22), ("extract", 0.18)]


def draw_fleet(
    seed: int, gateways: int, requests_per_s: float, calls_per_request: float, seconds: float
) -> Fleet:
    """Draws a site's plans, customers and requests, and the capacity of its counter."""
    chance = random.Random(f"{seed}/site")
    settings_fields = settings_object(gateways)
    packages = []
    for name, (rates, bursts, value, value_beyond, cost_beyond) in PLANS.items():
        rate = chance.uniform(*rates)
        burst = max(rate * chance.uniform(*bursts), MAX_REQUEST_UNITS * (4 if name == "pro" else 2))
        ceiling = chance.uniform(*CEILING_FACTORS) if name == "pro" else 0.0
        packages.append(
            {
                "name": name,
                "units_per_s": rate,
                "peak_units": burst,
                "concurrency": 0,
                "hard_rate": rate * ceiling,
                "cap_depth": burst * ceiling,
                "value_factor": value,
                "extra_worth": value_beyond,
                "overrun_cost": cost_beyond,
            }
        )
    settings_fields["packages"] = packages
    for service, value in zip(settings_fields["services"], (3.0, 3.0, 9.0), strict=True):
        service["credit"] = value
    settings = read_settings(settings_fields)
    wide = max(1, gateways // 2), gateways
    narrow = min(4, gateways), min(4, gateways)
    mixes = [PlanShare(p, PLAN_SHARES[p.name], narrow if p.name == "pro" else wide) for p in settings.plans]
    customers = draw_customers(chance, mixes, gateways, 0.65 * requests_per_s * MEAN_REQUEST_UNITS, seconds)
    requests = draw_requests(chance, customers, CLASS_SHARES, chance.uniform(0.34, 0.62))
    rate = len(requests) / seconds
    site = Site(
        settings, calls_per_request * rate, retries=chance.randrange(3), start=chance.uniform(0.0, 59.0)
    )
    return Fleet(site, requests, seed)


def measure(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Runs a fleet and returns value, refusals, overruns and counter calls, also by plan."""
    started_at = time.process_time()
    ledger = fleet.run(seconds + 3.0)
    processor_time_s = time.process_time() - started_at
    out: dict[str, Any] = {"plans": {}}
    for name, tally in sorted(ledger.tallies.items()):
        out["plans"][name] = {
            "gained": tally.gained / tally.offered,
            "with_room": tally.refused_with_room / tally.requested,
            "beyond": tally.beyond_quota / max(tally.within_quota + tally.beyond_quota, 1e-9),
            "asked": tally.requested / tally.offered,
        }
    tallies = ledger.tallies.values()
    out["gained"] = sum(tally.gained for tally in tallies) / sum(tally.offered for tally in tallies)
    out["refused_with_room_share"] = sum(tally.refused_with_room for tally in tallies) / sum(
        tally.requested for tally in tallies
    )
    out["beyond_quota_share"] = sum(tally.beyond_quota for tally in tallies) / sum(
        tally.within_quota + tally.beyond_quota for tally in tallies
    )
    out["calls_per_try"] = fleet.counter.calls / len(fleet.requests)
    out["calls_lost_share"] = (fleet.counter.timed_out + fleet.counter.rejected) / max(fleet.counter.calls, 1)
    out["ceiling_over"] = ledger.max_breach
    out["tries"], out["cpu"] = len(fleet.requests), processor_time_s
    return out


def measure_commit(commit: str, arguments: list[str]) -> list[dict[str, Any]]:
    """The same runs with an older commit's module, by the current emulator."""
    with tempfile.TemporaryDirectory() as folder:
        if not extract_commit(commit, Path(folder)):
            raise SystemExit(f"scarce_counter: commit {commit} is not in the repository")
        emulator = Path("embersill/emulator")
        shutil.copytree(ROOT / emulator, Path(folder) / emulator, dirs_exist_ok=True)
        (Path(folder) / "benchmarks").mkdir()
        for name in ("__init__.py", "history.py", "scarce_counter.py"):
            shutil.copy(ROOT / "benchmarks" / name, Path(folder) / "benchmarks" / name)
        command = [sys.executable, "-m", "benchmarks.scarce_counter", *arguments]
        result = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    runs: list[dict[str, Any]] = json.loads(result.stdout.splitlines()[-1])["days"]
    return runs


def summary(runs: list[dict[str, Any]]) -> dict[str, float]:
    """Means over the runs, without those by plan."""
    return {key: round(statistics.fmean(run[key] for run in runs), 4) for key in runs[0] if key != "plans"}


def main(arguments: list[str]) -> int:
    """Measures each seed, also with the older commit if one is given, and prints the result."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scarce_counter", description=__doc__)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--tries", type=float, default=1800.0, help="approximate requests/s, without retries")
    parser.add_argument("--calls", type=float, default=1.0, help="counter capacity in calls per request")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--before", metavar="COMMIT", default="")
    options = parser.parse_args(arguments)
    if options.gateways < 1 or min(options.tries, options.calls, options.seconds) <= 0:
        parser.error("gateways, tries, calls and seconds must be positive")
    runs = []
    for seed in options.seeds:
        fleet = draw_fleet(seed, options.gateways, options.tries, options.calls, options.seconds)
        runs.append(measure(fleet, options.seconds))
        for plan, figures in runs[-1]["plans"].items():
            print(f"seed {seed} {plan:6}", *(f"{key} {value:.3f}" for key, value in figures.items()))
    out: dict[str, Any] = {"new": summary(runs), "days": runs}
    if options.before:
        flags = ("gateways", "tries", "calls", "seconds")
        repeated = [word for name in flags for word in (f"--{name}", str(getattr(options, name)))]
        out["old"] = summary(measure_commit(options.before, [*repeated, "--seeds", *map(str, options.seeds)]))
    print(json.dumps(out))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
