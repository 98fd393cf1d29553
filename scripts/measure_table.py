"""Runs build/measure for several seeds and prints its lines and a table of targets."""

import argparse
import concurrent.futures
import json
import subprocess
import sys

# Measures of which a value below the target is a miss; for others it is a value above.
AT_LEAST = ("reuse_",)
JOBS = 4  # The target scenario needs about 6 s a seed; more jobs would slow down other processes.


def run(scenario, seed, settings):
    command = ["build/measure", "--scenario", scenario, "--seed", str(seed)]
    for setting in settings:
        command += ["--set", setting]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def is_met(measure, value, target):
    return value >= target if measure.startswith(AT_LEAST) else value <= target


def print_table(rows):
    form = "{:34} {:8} {:>10} {:>10} {:>8}  {}"
    print(form.format("measure", "scenario", "mean", "worst", "target", "result"))
    for (measure, scenario), (target, values) in rows.items():
        if target is None:
            continue
        mean = sum(values) / len(values)
        worst = min(values) if measure.startswith(AT_LEAST) else max(values)
        result = "met" if is_met(measure, mean, target) else "not met"
        print(form.format(measure, scenario, f"{mean:.5g}", f"{worst:.5g}", f"{target:g}", result))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--scenario", choices=["today", "twelve", "target"])
    parser.add_argument("--set", action="append", default=[], dest="settings")
    options = parser.parse_args()
    scenarios = [options.scenario] if options.scenario else ["target", "today", "twelve"]
    work = [
        (scenario, seed, options.settings)
        for scenario in scenarios
        for seed in range(1, (min(3, options.seeds) if scenario == "target" else options.seeds) + 1)
    ]
    rows = {}
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        for text in pool.map(lambda item: run(*item), work):
            sys.stdout.write(text)
            for line in text.splitlines():
                entry = json.loads(line)
                row = rows.setdefault(
                    (entry["measure"], entry["scenario"]), (entry["target"], [])
                )
                row[1].append(entry["value"])
    print_table(rows)


if __name__ == "__main__":
    main()
