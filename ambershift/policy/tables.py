"""Tables: their weights and levels, their proxies, and withdrawn servers, as far as the channel has room."""

from ambershift import interface as api
from ambershift.policy.channel import (
    BINDING_BUDGET,
    COLD_BUDGET,
    DRAIN_BUDGET,
    ORDINARY_BUDGET,
    try_reserve,
)
from ambershift.policy.cold import max_weight
from ambershift.policy.state import SECOND, State

RETENTION_TIME = 300 * SECOND  # How long a server is gone before no table can still have it.
WEIGHT_TOLERANCE = 1e-6


def update_withdrawals(state: State, out: bool) -> None:
    """Withdraw servers that must get no traffic (`out`), or end withdrawals of those that may again.

    A drain may use more than the ordinary budget. Against a message for each server of a wave, the next
    withdrawal waits for a part of the time that the grace leaves.
    """
    spare_time = max(0, state.settings.grace - state.settings.max_propagation_delay)
    patience = spare_time // 4
    gap = spare_time // 2 if out and state.settings.message_limit else 0
    if out and state.now < state.next_withdrawal_at:
        return
    for index, server in state.servers.items():
        if (index in state.withdrawn) != out and (server.entry.phase in state.binding_phases) == out:
            # A proxy without a table gets one without this server, for less than a line for each of a wave.
            if (
                out
                and state.users[None]
                and not state.is_sliced
                and state.now < server.phase_since + patience
            ):
                continue
            if not out and any(
                weights.get(index, 0.0) > max_weight(state, server)
                for table, weights in state.table_weights.items()
                if state.users[table]
            ):
                continue  # An old weight may be larger than a cold server can take.
            # It costs a line at each proxy whose table has it, or that has no table of this instance.
            holders = [
                proxy
                for table, users in state.users.items()
                if table is None or index in state.table_weights[table]
                for proxy in users
            ]
            if not try_reserve(state, holders, 1, DRAIN_BUDGET if out else BINDING_BUDGET):
                state.next_withdrawal_at = state.now + gap // 2
                break
            state.withdrawn ^= {index}
            state.next_withdrawal_at = state.now + gap
            state.orders.append(api.Withdraw(index, out))


def limit_cold_weights(state: State) -> None:
    """Lower weights of servers that started cold in each table in use, also in one on its way out."""
    limits = {index: max_weight(state, server) for index, server in state.ready_servers()}
    for table, weights in state.table_weights.items():
        for index, weight in weights.items():
            if weight > limits.get(index, weight) and try_reserve(state, state.users[table], 1, COLD_BUDGET):
                weights[index] = limits[index]
                state.orders.append(api.SetWeight(table, index, limits[index]))


def edit_table(state: State, table: int, wanted: dict[int, float]) -> None:
    """Bring a table's weights and levels to what is wanted, as far as there is room."""
    weights, users = state.table_weights.setdefault(table, {}), state.users[table]
    changes = [
        (index, weight)
        for index, weight in wanted.items()
        if abs(weight - weights.get(index, 0.0)) > WEIGHT_TOLERANCE
    ]
    # Additions first: an edit that the budget cuts in two must never leave a table emptier. What is withdrawn
    # can be removed later.
    kept = wanted.keys() | (() if state.channel_is_idle else state.withdrawn)
    changes += [(index, 0.0) for index in weights if index not in kept]
    # A server that no table has yet brings what drains have taken; what only moves or changes can wait.
    reaches_nothing = not any(index in weights and index not in state.withdrawn for index in wanted)
    changes.sort(key=lambda change: change[0] in state.placed_servers)
    for index, weight in changes:
        is_urgent = reaches_nothing or (
            index not in state.placed_servers and not state.servers[index].ejection
        )
        budget = BINDING_BUDGET if is_urgent else ORDINARY_BUDGET
        if (is_urgent or state.channel_is_idle) and try_reserve(state, users, 1, budget):
            state.table_edited_at[table] = state.now
            state.orders.append(api.SetWeight(table, index, weight))
            weights[index] = weight
            if not weight:
                del weights[index]
    levels = state.table_levels.setdefault(table, {})
    for mask, yields in state.masks:
        level = state.retry_policy, round(state.admitted_fraction, 2) if yields else 1.0
        if levels.get(mask) != level and try_reserve(state, users, 1, ORDINARY_BUDGET):
            state.orders.append(api.Level(table, mask, *level))
            levels[mask] = level


def bind_proxies(state: State, tables: dict[int, dict[int, float]]) -> None:
    """Bind proxies to their tables: first those without a table of this instance, of these the busiest."""
    shared_table = state.settings.zones * state.partitions_per_zone
    targets = {
        partition: partition if partition in tables else shared_table
        for partition in {-1, *state.traffic_shares}
    }
    moves = [
        (index, proxy) for index, proxy in state.joined.items() if proxy.table != targets[proxy.partition]
    ]
    for index, proxy in sorted(moves, key=lambda move: (move[1].table is not None, -move[1].rate)):
        weights = state.table_weights.get(table := targets[proxy.partition], {})
        if all(server in state.withdrawn for server in weights):
            continue
        withdrawn = state.withdrawn & weights.keys()
        cost = 1 + len(weights) + len(withdrawn) + len(state.table_levels.get(table, ()))
        is_first = proxy.table is None
        budget = BINDING_BUDGET if is_first else ORDINARY_BUDGET
        if (is_first or state.channel_is_idle) and try_reserve(state, [index], cost, budget):
            state.users[table][index] = state.users[proxy.table].pop(index)
            proxy.table = table
            state.orders.append(api.Bind(index, table, 0))


def forget_servers(state: State) -> None:
    """Forget servers long gone: those that replacements leave behind would pile up for ever."""
    gone = [
        index
        for index, server in state.servers.items()
        if server.entry.phase == api.Phase.GONE
        and not server.doubted
        and state.now > server.phase_since + RETENTION_TIME
    ]
    for index in gone if not state.users[None] and not state.is_sliced else ():
        for table, weights in state.table_weights.items():
            if index in weights and try_reserve(state, state.users[table], 1, ORDINARY_BUDGET):
                del weights[index]
                state.orders.append(api.SetWeight(table, index, 0.0))
        if not any(index in weights for weights in state.table_weights.values()):
            state.orders += [api.Withdraw(index, False)] * (index in state.withdrawn) + [api.Forget(index)]
            state.withdrawn.discard(index)
            del state.servers[index]
