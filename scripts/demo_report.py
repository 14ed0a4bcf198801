"""Builds the report of a demo from the histories of the stand-ins."""

import collections
import json
import subprocess
import sys


def read_lines(path):
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines() if line.strip()]


def urgent_counts(callers):
    rows = collections.defaultdict(collections.Counter)
    for line in callers:
        if line["kind"] != "request" or line["class"] != "urgent":
            continue
        row = rows[line["service"]]
        row["sent"] += 1
        if line["verdict"] == "not-run":
            row["refused"] += 1
        elif line["verdict"] == "ran" and line["status"] == 200:
            if line["answer_nonce"] != line["nonce"]:
                row["wrong"] += 1
            elif line["elapsed_ms"] <= line["deadline_ms"]:
                row["on_time"] += 1
            else:
                row["late"] += 1
        else:
            row["failed"] += 1
    return rows


def count_runs(document, callers, fleet):
    services = {s.split(" ", 1)[1]: document[s] for s in document.sections()
                if s.startswith("service ")}
    accepted = {line["run"]: line["service"] for line in callers
                if line["kind"] == "request" and line["class"] == "slow" and line["status"] == 202}
    ended = {line["run"]: line["state"] for line in callers if line["kind"] == "run"}
    # A run that resumes from a checkpoint is not another execution. history-check verifies that the
    # checkpoint existed.
    starts = collections.Counter(line["run"] for line in fleet
                                 if line["kind"] == "run-started" and not line["continued"])
    done = collections.Counter(line["run"] for line in fleet
                               if line["kind"] == "run-execution" and line["outcome"] == "succeeded")
    facts = collections.Counter()
    for run, service in accepted.items():
        state = ended.get(run, "open")
        facts["accepted"] += 1
        facts[f"state {state}"] += 1
        idempotent = services[service].get("idempotent", "no") == "yes"
        if not idempotent and starts[run] > 1:
            facts["doubled"] += 1
        if done[run] > 1 and not idempotent:
            facts["finished twice"] += 1
        if state == "open" or (state == "finished" and done[run] == 0):
            facts["lost"] += 1
    return facts


def peak_away_by_pool(document, fleet):
    """Returns each pool's peak number of draining or unresponsive hosts and its budget."""
    pool_of = {s.split(" ", 1)[1]: document[s]["pool"] for s in document.sections()
               if s.startswith("host ")}
    draining, unresponsive = set(), set()
    peak = collections.Counter()
    started = False
    for line in sorted((line for line in fleet if line["kind"] in
                        ("drain", "undrain", "answering", "not-answering")),
                       key=lambda line: line["time_ms"]):
        host = line["host"]
        if line["kind"] == "drain":
            draining.add(host)
            started = True
        elif line["kind"] == "undrain":
            draining.discard(host)
        elif line["kind"] == "answering":
            unresponsive.discard(host)
            draining.discard(host)
        else:
            unresponsive.add(host)
        if started:
            now = collections.Counter(pool_of[h] for h in draining | unresponsive)
            for pool, count in now.items():
                peak[pool] = max(peak[pool], count)
    budgets = {s.split(" ", 1)[1]: int(document[s]["max_away"]) for s in document.sections()
               if s.startswith("pool ")}
    return {pool: (peak[pool], budget) for pool, budget in budgets.items()}


def reboots(fleet):
    return collections.Counter(line["host"] for line in fleet if line["kind"] == "reboot")


def check_histories(folder, build):
    """Returns the counts of history-check per guarantee and its description of the violations."""
    result = subprocess.run([build / "standins" / "history-check", folder], capture_output=True,
                            text=True, check=False)
    if result.returncode not in (0, 1):
        raise RuntimeError(f"history-check failed: {result.stderr}")
    return [json.loads(line) for line in result.stdout.splitlines()], result.stderr


def drop_events_after(path, end_ms):
    """Drops events after `end_ms`: stopping the stand-ins is no absence and cuts no request."""
    kept = [line for line in path.read_text().splitlines()
            if line.strip() and json.loads(line).get("time_ms", 0) <= end_ms]
    path.write_text("\n".join(kept) + "\n")


def print_report(document, folder, facts, build):
    drop_events_after(folder / "fleet.jsonl", facts["end_ms"])
    callers = read_lines(folder / "callers.jsonl")
    fleet = read_lines(folder / "fleet.jsonl")
    broken = []

    print("urgent requests     sent  on-time  late  refused  failed  wrong")
    for service, row in sorted(urgent_counts(callers).items()):
        print(f"  {service:18}{row['sent']:5}  {row['on_time']:7}  {row['late']:4}  "
              f"{row['refused']:7}  {row['failed']:6}  {row['wrong']:5}")
        if row["wrong"]:
            broken.append(f"{row['wrong']} callers of {service} got another caller's answer")

    runs = count_runs(document, callers, fleet)
    print(f"runs                accepted {runs['accepted']}, doubled {runs['doubled']}, "
          f"lost {runs['lost']}")
    for key in sorted(k for k in runs if k.startswith("state ")):
        print(f"  {key[6:]:18}{runs[key]:5}")
    if runs["accepted"] == 0:
        broken.append("no run was accepted")
    for fault in ("doubled", "lost", "finished twice"):
        if runs[fault]:
            broken.append(f"{runs[fault]} runs {fault}")

    print("pool                most away  budget")
    for pool, (peak, budget) in sorted(peak_away_by_pool(document, fleet).items()):
        print(f"  {pool:18}{peak:9}  {budget:6}")
        # Only a demo in which hosts fail may exceed a budget.
        if peak > budget and not facts["hosts_fail"]:
            broken.append(f"pool {pool} had {peak} hosts away, its budget is {budget}")

    wave = facts["wave"]
    counts = reboots(fleet)
    roll_out = facts["roll_out_seconds"]
    print(f"wave                {wave['done']} of {wave['hosts']} hosts, "
          + (f"roll-out {roll_out:.1f} s" if roll_out else "not finished")
          + f", moves 0, reboots {sum(counts.values())}")
    if roll_out is None:
        broken.append("the wave did not finish")
    if any(count > 1 for count in counts.values()):
        broken.append("a host was rebooted twice")
    print(f"configuration       in force everywhere in {facts['in_force_seconds']:.1f} s")
    print(f"faults              {'; '.join(facts['faults']) or 'none'}")
    broken += facts["errors"]
    print("guarantee                   checked  violations")
    checks, violations_text = check_histories(folder, build)
    for check in checks:
        print(f"  {check['promise']:26}{check['checked']:7}  {check['violations']:10}")
        if check["violations"]:
            broken.append(f"{check['violations']} violations of {check['promise']}")
    sys.stdout.write(violations_text)
    for fault in broken:
        print(f"BROKEN: {fault}")
    print("all guarantees held" if not broken else f"{len(broken)} guarantees broken")
    return 1 if broken else 0
