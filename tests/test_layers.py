"""Checks the layers of packages: a package may import only packages of lower layers."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
# From the lowest layer to the highest. A package may import itself and packages of lower layers, but no other
# package of its own layer.
LAYERS = (
    ("routing", "clock"),
    ("limits", "config", "placement", "coldstart", "budgets", "observe"),
    ("core", "admission"),
    ("net",),
    ("discovery", "dns", "ops"),
    ("store", "settings", "lifecycle"),
    ("appliance", "console", "lab", "platform_router"),
    ("cli",),
    ("__main__",),
)
LAYER_INDEX = {subpackage: n for n, row in enumerate(LAYERS) for subpackage in row}
# Exceptions: (importing package, imported package).
ALLOWED_WITHIN_LAYER = {("appliance", "console"), ("dns", "admission")}


def subpackage(module: str) -> str:
    """Return the subpackage of a brackenlane module; "" for brackenlane itself."""
    return module.split(".")[1] if "." in module else ""


def forbidden_imports(module: str, text: str) -> list[str]:
    """Return the names that a module with this source may not import, by the layers."""
    importer, found = subpackage(module), []
    for node in ast.walk(ast.parse(text)):
        names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [f"{node.module}.{a.name}" for a in node.names]
        for name in names:
            imported = subpackage(name) if name.startswith("brackenlane.") else importer
            is_lower_layer = LAYER_INDEX.get(imported, 99) < LAYER_INDEX.get(importer, 99)
            if (
                imported != importer
                and imported != "__version__"
                and not is_lower_layer
                and (importer, imported) not in ALLOWED_WITHIN_LAYER
            ):
                found.append(name)
    return found


def product_files() -> list[Path]:
    """Return all source files except those of the lab, which is not subject to the layers."""
    files = sorted((ROOT / "brackenlane").rglob("*.py"))
    return [f for f in files if "lab" not in f.relative_to(ROOT).parts]


def test_imports_only_lower_layers() -> None:
    """Covers all imports, including those inside functions and under TYPE_CHECKING."""
    modules = {f: ".".join(f.relative_to(ROOT).with_suffix("").parts) for f in product_files()}
    assert len(modules) > 50
    found = {name: up for f, name in modules.items() if (up := forbidden_imports(name, f.read_text()))}
    assert not found


def test_lab_is_imported_only_by_its_commands() -> None:
    """Only the lab commands of the CLI import the lab; brackenlane.routing imports no other package."""
    found = [
        f
        for f in product_files()
        for line in f.read_text().splitlines()
        if "import" in line
        and "brackenlane.lab" in line
        and not (f.parent.name == "cli" and line.startswith("    "))
    ]
    # The lab commands of the CLI import it inside their functions, which the indent in the condition allows.
    assert not found
    decisions = list((ROOT / "brackenlane" / "routing").glob("*.py"))
    assert len(decisions) > 15
    assert not [f for f in decisions if re.search(r"(import|from) brackenlane(?!\.routing\b)", f.read_text())]


@pytest.mark.parametrize(
    "line",
    [
        "from brackenlane.net.poller import Board",
        "import brackenlane.ops.admin_api",
        "def f():\n    from brackenlane import net",
    ],
)
def test_forbidden_import_is_found(line: str) -> None:
    """The check itself reports an import from a higher layer."""
    assert forbidden_imports("brackenlane.core.engine", line)
