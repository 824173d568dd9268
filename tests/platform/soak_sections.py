"""The soak test's requests with a section of their prompts that crashes engines."""

import time

import attrs

from tests.platform.fixtures import ReceivedRequest

__all__ = ["CRASHING_SECTION", "SectionChecker", "sections_header", "shared_sections"]

# Section of a prompt that crashes each engine which runs a request with it.
CRASHING_SECTION = "dead"
SOUND_SECTIONS = ("aa", "bb", "cc")
# Users' bound: how many requests with a section may reach engines later than this time,
# in seconds, after the section has crashed this many engines.
STABLE_S = 3.0
LATE_CRASHES = 5
MAX_LATE_REQUESTS = 3


def sections_header(number: int, crashing: bool) -> str:
    """Return a header with the sections of a prompt, the last of them its own."""
    sections = [SOUND_SECTIONS[number % len(SOUND_SECTIONS)]]
    if crashing:
        sections.insert(number % 2, CRASHING_SECTION)
    entries = ",".join(f"{section}:40" for section in (*sections, f"{number:08x}"))
    return f"Tanagerkeel-Prompt-Prefix: {entries}"


def shared_sections(request: ReceivedRequest) -> tuple[str, ...]:
    """Return the sections of a request that it may share with others."""
    header = request.headers.get("tanagerkeel-prompt-prefix", "")
    return tuple(entry.partition(":")[0] for entry in header.split(",")[:-1])


@attrs.define
class SectionChecker:
    """
    Counts the requests with the crashing section that reach engines.

    :param late_crashes: after how many crashes the bound holds.
    :param crashes_s: monotonic time of each crash, in seconds.
    :param late_requests: requests that nodes in touch sent after the bound.
    :param disrupted_s: monotonic time at which each node was last restarted, frozen or
        reloaded, or a link was disturbed, in seconds.
    """

    late_crashes: int = LATE_CRASHES
    crashes_s: list[float] = attrs.field(factory=list)
    late_requests: int = 0
    disrupted_s: dict[str, float] = attrs.field(factory=dict)

    def record_crash(self) -> None:
        self.crashes_s.append(time.monotonic())

    def record_disruption(self, node: str) -> None:
        self.disrupted_s[node] = time.monotonic()

    def record_arrival(self, node: str) -> bool:
        """Count a request from a node; return whether the bound is exceeded."""
        now = time.monotonic()
        in_touch = now - self.disrupted_s.get(node, 0.0) > STABLE_S
        if len(self.crashes_s) < self.late_crashes:
            return False
        bound_s = self.crashes_s[self.late_crashes - 1] + STABLE_S
        if in_touch and now > bound_s:
            self.late_requests += 1
        return self.late_requests > MAX_LATE_REQUESTS
