"""A start on a share of a core: nothing is imported that `serve` has no use for, nothing is compiled anew."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Each of these cost a start a tenth or more of its time once, or belongs to a part that is off.
UNUSED = ("importlib.metadata", "capershelf.memory", "capershelf.stream", "capershelf.commands.control",
          "capershelf.commands.memory", "cryptography", "msgspec", "numpy", "rich", "capershelf.benchlink")


def test_serve_imports_nothing_that_it_has_no_use_for() -> None:
    code = "import sys, capershelf.cli, capershelf.node; print(*sorted(sys.modules))"
    ran = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=100, check=True)
    found = ran.stdout.split()
    assert "capershelf.core.planner" in found
    assert not set(UNUSED) & set(found)


def test_the_build_leaves_every_module_compiled(tmp_path: Path) -> None:
    """Where the files are read-only, as on the platform, each start would compile all of them again."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    compiling = build.rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    bare = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "capershelf", tmp_path / "capershelf", ignore=bare)
    subprocess.run(["/bin/sh", "-c", compiling], cwd=tmp_path, timeout=100, check=True)
    sources = list((tmp_path / "capershelf").rglob("*.py"))
    compiled = {path.name.partition(".")[0] for path in (tmp_path / "capershelf").rglob("*.pyc")}
    assert len(sources) > 50 and {path.stem for path in sources} <= compiled
