#!/usr/bin/env python3
"""What each class, team and class's largest and longest jobs got on the days of these journal entries, and whether a rule broke.

    python3 days/served.py journal/20*.json        the least of each day; exit 1: a rule broke, or one is under half

Shares of jobs that were served, as the bench counted them; entries from before it did have none.
"""
import json
import sys


def main(paths):
    bad = 0
    for path in sorted(paths):
        with open(path) as f:
            entry = json.load(f)
        for day in entry.get("days") or []:
            served = day.get("served") or []
            broken = {k: v for k, v in (day.get("rules") or {}).items() if v}
            if not served and not broken and not day.get("fault"):
                continue
            least = min(served, key=lambda s: s[2], default=["nothing", 0, 0.0])
            idle = day.get("idle") or {}
            wrong = broken or day.get("fault") or least[2] < 0.5
            bad += bool(wrong)
            print(f"{'FAILED ' if wrong else ''}{entry.get('site')} {day['name']}: {day['score']:.3f}, least served {least[0]}"
                  f" {least[2]:.3f}, left waiting {idle.get('neglected', 0)}, {broken or day.get('fault') or 'no rule broken'}"
                  + (f", counted {idle['slips']}" if idle.get("slips") else ""))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]) if len(sys.argv) > 1 else print(__doc__) or 2)
