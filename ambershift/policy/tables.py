"""Tables: their lines and levels, who is bound to them, and who is shut out, as far as the channel goes."""

from ambershift import interface as api
from ambershift.policy.channel import BINDING, GUARDING, ORDINARY, PRESSING, afford
from ambershift.policy.cold import most
from ambershift.policy.state import SECOND, State

FORGET = 300 * SECOND  # How long a server is gone before no table can still have it.


def withdraw(state: State, out: bool) -> None:
    """Shut out beyond the ordinary budget; against a message for each of a wave the rest waits a part."""
    spare = max(0, state.terms.grace - state.terms.max_propagation_delay)
    patience, gap = spare // 4, spare // 2 if out and state.terms.message_limit else 0
    if out and state.now < state.shut_at:
        return
    for index, server in state.servers.items():
        if (index in state.shut) != out and (server.entry.phase in state.binding) == out:
            # A proxy taken over gets a table without it, for less than a line for each of a wave.
            if out and state.users[None] and not state.sliced and state.now < server.told + patience:
                continue
            if not out and any(
                laid.get(index, 0.0) > most(state, server)
                for table, laid in state.laid.items()
                if state.users[table]
            ):
                continue  # An old line may be larger than a cold server stands.
            # It costs a line at each proxy whose table has it, or whose table is none of ours.
            holders = [
                proxy
                for table, users in state.users.items()
                if table is None or index in state.laid[table]
                for proxy in users
            ]
            if not afford(state, holders, 1, BINDING if out else PRESSING):
                state.shut_at = state.now + gap // 2
                break
            state.shut ^= {index}
            state.shut_at = state.now + gap
            state.orders.append(api.Withdraw(index, out))


def shrink(state: State) -> None:
    """Lower the lines of servers that started cold, in each table in use, also in one on its way out."""
    stands = {index: most(state, server) for index, server in state.ready()}
    for table, laid in state.laid.items():
        for index, weight in laid.items():
            if weight > stands.get(index, weight) and afford(state, state.users[table], 1, GUARDING):
                laid[index] = stands[index]
                state.orders.append(api.SetWeight(table, index, stands[index]))


def lay(state: State, table: int, wanted: dict[int, float]) -> None:
    laid, users = state.laid.setdefault(table, {}), state.users[table]
    changes = [(one, weight) for one, weight in wanted.items() if abs(weight - laid.get(one, 0.0)) > 1e-6]
    # Additions first: a table cut in two by the budget must never be the emptier. What is shut out can wait.
    kept = wanted.keys() | (() if state.idle else state.shut)
    changes += [(index, 0.0) for index in laid if index not in kept]
    # A server that no table has yet brings what drains have taken; what only moves or changes can wait.
    fresh = not any(index in laid and index not in state.shut for index in wanted)
    changes.sort(key=lambda change: change[0] in state.placed)
    for index, weight in changes:
        new = fresh or (index not in state.placed and not state.servers[index].ill)
        if (new or state.idle) and afford(state, users, 1, PRESSING if new else ORDINARY):
            state.edited[table] = state.now
            state.orders.append(api.SetWeight(table, index, weight))
            laid[index] = weight
            if not weight:
                del laid[index]
    levels = state.laid_levels.setdefault(table, {})
    for mask, yields in state.masks:
        wish = state.again, round(state.level, 2) if yields else 1.0
        if levels.get(mask) != wish and afford(state, users, 1, ORDINARY):
            state.orders.append(api.Level(table, mask, *wish))
            levels[mask] = wish


def bind(state: State, tables: dict[int, dict[int, float]]) -> None:
    """Worst off first: proxies with no table of ours, of these the busiest."""
    goals = {part: part if part in tables else state.terms.zones * state.parts for part in {-1, *state.share}}
    moves = [(index, proxy) for index, proxy in state.joined.items() if proxy.table != goals[proxy.part]]
    for index, proxy in sorted(moves, key=lambda one: (one[1].table is not None, -one[1].rate)):
        lines = state.laid.get(table := goals[proxy.part], {})
        if all(line in state.shut for line in lines):
            continue
        cost = 1 + len(lines) + len(state.shut & lines.keys()) + len(state.laid_levels.get(table, ()))
        first = proxy.table is None
        if (first or state.idle) and afford(state, [index], cost, PRESSING if first else ORDINARY):
            state.users[table][index] = state.users[proxy.table].pop(index)
            proxy.table = table
            state.orders.append(api.Bind(index, table, 0))


def forget(state: State) -> None:
    """Let go of servers long gone, or those that replacements leave behind would pile up for ever."""
    gone = [
        index
        for index, server in state.servers.items()
        if server.entry.phase == api.Phase.GONE and not server.doubted and state.now > server.told + FORGET
    ]
    for index in gone if not state.users[None] and not state.sliced else ():
        for table, laid in state.laid.items():
            if index in laid and afford(state, state.users[table], 1, ORDINARY):
                del laid[index]
                state.orders.append(api.SetWeight(table, index, 0.0))
        if not any(index in laid for laid in state.laid.values()):
            state.orders += [api.Withdraw(index, False)] * (index in state.shut) + [api.Forget(index)]
            state.shut.discard(index)
            del state.servers[index]
