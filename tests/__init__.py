"""The tests; none of them needs the benchmark machine."""
