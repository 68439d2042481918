"""The README's example runs as printed."""

import contextlib
import io
import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_host_loop_runs() -> None:
    code = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert len(code) == 1
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code[0], "README.md", "exec"), {})
    lines = printed.getvalue().splitlines()
    assert "10: timer tick in 100 ms" in lines
    assert "10: send call 501 to b, time-out 2000 ms" in lines
