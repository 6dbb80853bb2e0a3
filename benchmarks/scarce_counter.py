"""Quotas over many gateways with a scarce counter: `python -m benchmarks.scarce_counter`.

Plays the same days (paired seeds) on this tree's module and, with `--before COMMIT`, on that commit's, each
with the real module at every gateway, and judges both by one store a customer. The last line is JSON.
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

# plans as the site states them: units a second, seconds' worth at once, worth, of what is beyond, its cost
PLANS = {
    "basis": ((1.2, 2.1), (3.0, 5.2), 0.88, 0.0, 1.0),
    "plus": ((2.3, 4.0), (3.3, 5.7), 1.3, 0.3, 0.0),
    "pro": ((9.1, 16.0), (1.1, 2.8), 1.4, 0.0, 0.8),
}
SHARES = {"basis": 0.35, "plus": 0.30, "pro": 0.35}
LARGEST = 8  # units of a request: the stores hold some of these at the least
CEILING = (1.7, 2.6)
CLASSES = [("lookup", 0.60), ("report", 0.22), ("extract", 0.18)]


def day(seed: int, gateways: int, tries_a_second: float, calls_a_try: float, seconds: float) -> Fleet:
    chance = random.Random(f"{seed}/site")
    told = settings_object(gateways)
    packages = []
    for name, (rates, bursts, worth, beyond, cost) in PLANS.items():
        rate = chance.uniform(*rates)
        burst = max(rate * chance.uniform(*bursts), LARGEST * (4 if name == "pro" else 2))
        ceiling = chance.uniform(*CEILING) if name == "pro" else 0.0
        packages.append(
            {
                "name": name,
                "units_per_s": rate,
                "peak_units": burst,
                "concurrency": 0,
                "hard_rate": rate * ceiling,
                "cap_depth": burst * ceiling,
                "value_factor": worth,
                "extra_worth": beyond,
                "overrun_cost": cost,
            }
        )
    told["packages"] = packages
    for service, worth in zip(told["services"], (3.0, 3.0, 9.0), strict=True):
        service["credit"] = worth
    settings = read_settings(told)
    wide = max(1, gateways // 2), gateways
    narrow = min(4, gateways), min(4, gateways)
    mixes = [PlanShare(p, SHARES[p.name], narrow if p.name == "pro" else wide) for p in settings.plans]
    customers = draw_customers(chance, mixes, gateways, 0.65 * tries_a_second * MEAN_REQUEST_UNITS, seconds)
    tries = draw_requests(chance, customers, CLASSES, chance.uniform(0.34, 0.62))
    rate = len(tries) / seconds
    site = Site(settings, calls_a_try * rate, retries=chance.randrange(3), start=chance.uniform(0.0, 59.0))
    return Fleet(site, tries, seed)


def figures(fleet: Fleet, seconds: float) -> dict[str, Any]:
    began = time.process_time()
    ledger = fleet.run(seconds + 3.0)
    spent = time.process_time() - began
    out: dict[str, Any] = {"plans": {}}
    for name, t in sorted(ledger.tallies.items()):
        out["plans"][name] = {
            "gained": t.gained / t.offered,
            "with_room": t.refused_with_room / t.requested,
            "beyond": t.beyond_quota / max(t.within_quota + t.beyond_quota, 1e-9),
            "asked": t.requested / t.offered,
        }
    tallies = ledger.tallies.values()
    out["gained"] = sum(t.gained for t in tallies) / sum(t.offered for t in tallies)
    out["refused_with_room_share"] = sum(t.refused_with_room for t in tallies) / sum(
        t.requested for t in tallies
    )
    out["beyond_quota_share"] = sum(t.beyond_quota for t in tallies) / sum(
        t.within_quota + t.beyond_quota for t in tallies
    )
    out["calls_per_try"] = fleet.counter.calls / len(fleet.requests)
    out["calls_lost_share"] = (fleet.counter.timed_out + fleet.counter.rejected) / max(fleet.counter.calls, 1)
    out["ceiling_over"] = ledger.max_breach
    out["tries"], out["cpu"] = len(fleet.requests), spent
    return out


def before(commit: str, arguments: list[str]) -> list[dict[str, Any]]:
    """The same days on an older commit's module, played by this tree's emulator."""
    with tempfile.TemporaryDirectory() as folder:
        if not extract_commit(commit, Path(folder)):
            raise SystemExit(f"scarce_counter: the history has no commit {commit}")
        ours = Path("embersill/emulator")
        shutil.copytree(ROOT / ours, Path(folder) / ours, dirs_exist_ok=True)
        (Path(folder) / "benchmarks").mkdir()
        for name in ("__init__.py", "history.py", "scarce_counter.py"):
            shutil.copy(ROOT / "benchmarks" / name, Path(folder) / "benchmarks" / name)
        command = [sys.executable, "-m", "benchmarks.scarce_counter", *arguments]
        ran = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    found: list[dict[str, Any]] = json.loads(ran.stdout.splitlines()[-1])["days"]
    return found


def summary(days: list[dict[str, Any]]) -> dict[str, float]:
    return {key: round(statistics.fmean(d[key] for d in days), 4) for key in days[0] if key != "plans"}


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scarce_counter", description=__doc__)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--tries", type=float, default=1800.0, help="first tries a second, about")
    parser.add_argument("--calls", type=float, default=1.0, help="calls that the counter bears a first try")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--before", metavar="COMMIT", default="")
    told = parser.parse_args(arguments)
    if told.gateways < 1 or min(told.tries, told.calls, told.seconds) <= 0:
        parser.error("gateways, tries, calls and seconds must be above nought")
    days = []
    for seed in told.seeds:
        played = day(seed, told.gateways, told.tries, told.calls, told.seconds)
        days.append(figures(played, told.seconds))
        for plan, found in days[-1]["plans"].items():
            print(f"seed {seed} {plan:6}", *(f"{key} {value:.3f}" for key, value in found.items()))
    out: dict[str, Any] = {"new": summary(days), "days": days}
    if told.before:
        shape = ("gateways", "tries", "calls", "seconds")
        given = [word for name in shape for word in (f"--{name}", str(getattr(told, name)))]
        out["old"] = summary(before(told.before, [*given, "--seeds", *map(str, told.seeds)]))
    print(json.dumps(out))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
