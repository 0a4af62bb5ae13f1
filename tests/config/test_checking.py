"""Tests of validation of the platform's and the operator's files: errors name the key of the invalid value."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from marlstep.__main__ import main
from marlstep.config import ConfigError, check, load
from marlstep.units import MILLISECOND
from tests.support.node import SETTINGS, raw_config


@pytest.mark.parametrize("limits", [{"memory_mb": 1}, {"cores": 0}, {"cores": "half"}])
def test_the_error_for_an_invalid_limit_names_its_key(limits: dict[str, object]) -> None:
    with pytest.raises(ConfigError, match=r"limits\.(memory_mb|cores) must be"):
        check(raw_config(limits=limits))


def test_buffers_of_uwsgi_connections_must_fit_half_of_the_memory() -> None:
    # Guards against limits that let the buffers of all connections together exceed the memory limit.
    uwsgi = {"listen": "127.0.0.1:0", "upstream": "127.0.0.1:1", "vars": {"class": "C"}}
    platform_table = raw_config(limits={"memory_mb": 64})
    with pytest.raises(ConfigError, match=r"uwsgi\.max_connections .* 32 MiB, half of limits\.memory_mb"):
        check(platform_table, {"uwsgi": uwsgi})
    assert check(platform_table, {"uwsgi": {**uwsgi, "max_connections": 64}}).uwsgi is not None


DEPLOY = Path(__file__).parents[2] / "deploy"

UWSGI: dict[str, Any] = {"listen": "127.0.0.1:3031", "upstream": "127.0.0.1:3032", "vars": {"class": "C"}}


def test_the_shipped_files_are_valid() -> None:
    config = load({"PROXY_CONFIG": str(DEPLOY / "node.json"), "PROXY_NAME": "n9"}, str(DEPLOY / "uwsgi.toml"))
    assert (config.name, config.listen, config.shutdown_timeout) == (
        "n9",
        ("127.0.0.1", 9090),
        3200 * MILLISECOND,
    )
    assert config.uwsgi is not None and config.uwsgi.mapping.class_names["setpoint"] == "setpoint-cmd"


def test_without_an_operators_file_uwsgi_is_off() -> None:
    assert check(raw_config()).uwsgi is None


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"kernel": None}, "kernel is missing"),
        ({"kernel": "cores.example:6100"}, "kernel must be a numeric address"),
        ({"listen": "127.0.0.1"}, "listen must be"),
        ({"listen": "127.0.0.1:99999"}, "listen must be"),
        ({"name": "two words"}, "name must be a word"),
        ({"stop_ms": "soon"}, "stop_ms must be a whole number"),
        ({"stop_ms": True}, "stop_ms must be a whole number"),
        ({"seed": "xyz"}, "seed must be"),
        ({"limits": {"sockets": 1}}, "limits.sockets must be"),
        ({"limits": []}, "limits must be a table"),
        ({"settings": None}, "settings is missing"),
        ({"settings": {**SETTINGS, "resolutionUs": None}}, "settings: resolutionUs is missing"),
        ({"settings": {**SETTINGS, "resolutionUs": "x"}}, "settings: resolutionUs must be of type int"),
        (
            {"settings": {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], "cpus": 0}}},
            "settings: familyInfo.cpus must be at least 1",
        ),
    ],
)
def test_an_error_in_the_platforms_file_names_its_key(change: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        check(raw_config(**change))


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"upstream": "localhost:1"}, "uwsgi.upstream must be a numeric address"),
        ({"vars": {}}, "uwsgi.vars.class is missing"),
        ({"vars": {"class": "C", "colour": "X"}}, "uwsgi.vars.colour is not known"),
        ({"classes": {"x": "no-such"}}, "uwsgi.classes.x must be one of"),
        ({"default_class": "no-such"}, "uwsgi.default_class must be one of"),
        ({"max_body": -1}, "uwsgi.max_body must be"),
        ({"held_kb": "much"}, "uwsgi.held_kb must be a number"),
        ({"max_connections": 1000}, "uwsgi.max_connections times"),
        ({"max_bodies": 1}, "uwsgi.max_bodies is not known"),
    ],
)
def test_an_error_in_the_uwsgi_section_names_its_key(change: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        check(raw_config(), {"uwsgi": UWSGI | change})


ONE_SERVER = {"servers": ["127.0.0.1:1"]}


@pytest.mark.parametrize(
    ("pools", "message"),
    [
        ({"a": {"servers": []}}, "uwsgi.pool.a.servers must name 1 to"),
        ({"a": {"servers": ["127.0.0.1:1"] * 2}}, "uwsgi.pool.a.servers must name 1 to"),
        ({"a": {"servers": ["host:1"]}}, r"uwsgi.pool.a.servers\[0\] must be a numeric address"),
        ({"a": {"servers": "127.0.0.1:1"}}, "uwsgi.pool.a.servers must be a list"),
        ({"a": ONE_SERVER | {"colour": 1}}, "uwsgi.pool.a.colour is not known"),
        ({"a": ONE_SERVER | {"classes": ["no-such"]}}, "uwsgi.pool.a.classes: no-such must be one of"),
        ({"a": ONE_SERVER | {"refuses": [200]}}, "uwsgi.pool.a.refuses must be a list of statuses"),
        ({"a": ONE_SERVER | {"refuses": 503}}, "uwsgi.pool.a.refuses must be a list of statuses"),
        ({"a": ONE_SERVER | {"tries": 0}}, "uwsgi.pool.a.tries must be a whole number"),
        ({"a": ONE_SERVER | {"classes": ["temp-history"]}}, "exactly one pool must be without classes"),
        ({"a": ONE_SERVER, "b": ONE_SERVER}, "exactly one pool must be without classes"),
        (
            {"a": ONE_SERVER, **{name: ONE_SERVER | {"classes": ["temp-history"]} for name in "bc"}},
            "class temp-history is listed twice",
        ),
    ],
)
def test_an_error_in_a_pool_names_its_key(pools: dict[str, Any], message: str) -> None:
    without_upstream = {name: value for name, value in UWSGI.items() if name != "upstream"}
    with pytest.raises(ConfigError, match=message):
        check(raw_config(), {"uwsgi": without_upstream | {"pool": pools}})
    with pytest.raises(ConfigError, match="can't both be there"):
        check(raw_config(), {"uwsgi": UWSGI | {"pool": pools}})


@pytest.mark.parametrize("text", ["", "{", "[]", json.dumps(raw_config(kernel="x"))])
def test_the_program_prints_one_line_and_exits_with_2_on_an_invalid_configuration(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    monkeypatch.setenv("PROXY_CONFIG", str(path))
    monkeypatch.setattr("sys.argv", ["marlstep"])
    assert main([]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_the_deploy_file_has_all_sections_and_names_existing_paths() -> None:
    deploy = tomllib.loads((DEPLOY / "balancer.toml").read_text("utf-8"))
    assert {"build", "run", "sim", "policy", "node", "packages"} <= set(deploy)
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (DEPLOY.parent / path).exists()


def test_the_shipped_service_example_is_valid() -> None:
    config = load({"PROXY_CONFIG": str(DEPLOY / "node.json")}, str(DEPLOY / "service.toml"))
    assert [tenant.portion for tenant in config.settings.tenants] == [0.5, 0.3, 0.2]
