"""Run all benchmarks of this package, one after another."""

import importlib
import pkgutil

import benchmarks


def main():
    """Run each module whose name starts with ``bench_``."""
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name.startswith("bench_"):
            print(f"\n== {module.name}", flush=True)
            importlib.import_module(f"benchmarks.{module.name}").main()


if __name__ == "__main__":
    main()
