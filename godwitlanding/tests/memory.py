"""Measures the memory that a coroutine's work holds."""

import tracemalloc


async def measure_held(work):
    """Return the result of a coroutine and the most bytes held meanwhile."""
    tracemalloc.start()
    try:
        result = await work
        return result, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
