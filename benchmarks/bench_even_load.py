"""Waits by the way in which many hosts choose engines with figures that are old.

Run with ``python -m benchmarks.bench_even_load``.
"""

from benchmarks import even_load_model

HOSTS = (9, 32, 74, 400)
ENGINES = 45
LOADS = (0.8, 0.95)
AGES_S = (0.25, 0.5)
DURATION_S = 20.0
WAYS_BY_NAME = {
    "least work": even_load_model.place_by_least,
    "key, fixed slack": even_load_model.place_by_key,
    "expected wait": even_load_model.place_by_wait,
}


def main():
    """Print mean and 95th percentile of the waits, late share and reads again."""
    print("load  age s  hosts  way               mean s  p95 s  late   read again")
    for load in LOADS:
        for age_s in AGES_S:
            for hosts in HOSTS:
                for name, place in WAYS_BY_NAME.items():
                    waits = even_load_model.run(
                        place, hosts, ENGINES, load, age_s, DURATION_S
                    )
                    print_row(load, age_s, hosts, name, waits)


def print_row(load, age_s, hosts, name, waits):
    """Print one row of the table."""
    sorted_s = sorted(wait.wait_s for wait in waits)
    mean_s = sum(sorted_s) / len(sorted_s)
    p95_s = sorted_s[int(len(sorted_s) * 0.95)]
    late = even_load_model.compute_late_share(waits)
    again = sum(wait.is_read_again for wait in waits) / len(waits)
    print(
        f"{load:4.2f}  {age_s:5.2f}  {hosts:5}  {name:16}  {mean_s:6.3f}  {p95_s:5.3f}"
        f"  {late:5.3f}  {again:5.3f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
