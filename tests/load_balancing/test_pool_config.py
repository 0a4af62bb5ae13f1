"""Tests of the configuration of pools."""

from __future__ import annotations

from collections import Counter

from marlstep.load_balancing.pool_config import PoolConfig, pool_for


def test_a_request_class_goes_to_the_pool_that_lists_it_or_to_the_one_that_lists_none() -> None:
    pools = (
        PoolConfig("a", (("127.0.0.1", 1),), ("x",)),
        PoolConfig("b", (("127.0.0.1", 2),)),
    )
    assert Counter(pool_for(pools, request_class) for request_class in ("x", "y", "z")) == {"b": 2, "a": 1}


def test_a_server_is_named_by_its_host_and_port() -> None:
    assert PoolConfig("a", (("127.0.0.1", 1), ("h", 2))).server_names == ["127.0.0.1:1", "h:2"]
