"""Names of lease holders and of leases."""

from __future__ import annotations

from marlstep.leases.names import ProcessName, is_config_lease, node_of


def test_a_holder_name_contains_its_node_and_process() -> None:
    assert str(ProcessName("n1", "b7")) == "n1/b7"
    assert node_of("n1/b7") == "n1" and node_of("") == ""


def test_only_leases_on_replicated_configuration_are_config_leases() -> None:
    assert is_config_lease("rules/n1/b7")
    assert not is_config_lease("task/rules") and not is_config_lease("pool/front")
