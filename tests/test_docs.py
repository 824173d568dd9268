"""Tests that the docs' tables, links and names of tests agree with the code."""

import importlib
import pathlib
import re

import attrs

from tanagerkeel.entry import EntrySettings, Limits
from tanagerkeel.errors import ResultCode
from tanagerkeel.events import LogEvent
from tests.runner import ROOT, promise_test_ids
from tests.support import collect

CODE_ROW = re.compile(r"^\| (TK-\d+) \| `(\w+)` \| (\d+) \| (.*?) \| (.+) \|$", re.M)
EVENT_ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (.+) \|$", re.M)
SETTING_ROW = re.compile(r"^\| `([\w.]+)` \|", re.M)
LINK = re.compile(r"\]\(([^)#:]+\.md)(?:#[^)]*)?\)")


def _doc(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def _source() -> str:
    paths = (ROOT / "src").rglob("*.py")
    return "\n".join(path.read_text() for path in paths)


def test_result_codes_table_matches_the_code():
    rows = CODE_ROW.findall(_doc("result-codes.md"))
    table = [(code, name, int(status), title) for code, name, status, title, _ in rows]
    codes = [(c.code, c.name, c.status, c.title) for c in ResultCode]
    assert table == codes
    assert len({c.number for c in ResultCode}) == len(ResultCode.__members__)


def test_log_events_table_matches_the_code():
    rows = EVENT_ROW.findall(_doc("log-events.md"))
    table = [(int(number), name) for number, name, _ in rows]
    assert table == [(int(event), event.name.lower()) for event in LogEvent]


def test_every_code_and_event_is_in_use():
    source = _source()
    unused = [c.name for c in ResultCode if f"ResultCode.{c.name}" not in source]
    unused += [e.name for e in LogEvent if f"LogEvent.{e.name}" not in source]
    assert unused == []


def test_settings_page_names_every_setting():
    fields = {field.name for field in attrs.fields(EntrySettings)} - {"limits"}
    fields |= {f"limits.{field.name}" for field in attrs.fields(Limits)}
    assert set(SETTING_ROW.findall(_doc("settings.md"))) == fields


def test_links_between_pages_resolve():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for target in LINK.findall(page.read_text()):
            found = (page.parent / target).resolve()
            assert found.is_file(), f"{page.name} links to {target}"


def test_every_promised_test_exists():
    for test_id in promise_test_ids():
        module, _, name = test_id.rpartition(".")
        assert callable(getattr(importlib.import_module(module), name)), test_id


def test_every_test_of_the_operators_stories_exists():
    named = re.findall(r"^\| `(tests\.[\w.]+)` \|$", _doc("operators-stories.md"), re.M)
    assert len(named) > 20
    for test_id in named:
        module, _, name = test_id.rpartition(".")
        assert callable(getattr(importlib.import_module(module), name)), test_id


def test_code_and_docs_hold_no_machine_paths():
    pages = [*pathlib.Path(ROOT / "docs").rglob("*.md"), ROOT / "README.md"]
    text = _source() + "\n".join(page.read_text() for page in pages)
    assert not re.search(r"/(?:work|home|root|tmp)/", text)


def load_tests(loader, tests, pattern):
    return collect(globals())
