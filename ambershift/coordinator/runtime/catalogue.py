"""The catalogue: every command that HAProxy publishes for its runtime API, and ours, with what becomes of
each.

Kept as one table, from which the parser, `help` and the table in docs/runtime-api.md are made. HAProxy's are
those of its management guide, chapters 9.3 and 9.4.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ambershift.coordinator.runtime.session import Level


class Kind(StrEnum):
    SAME = "the same"
    MAPPED = "mapped"
    OURS = "ours"
    REFUSED = "refused"


class Entry(NamedTuple):
    """`path` holds the words that name the command, `usage` all that may follow, `handler` is "" if
    refused.
    """

    path: tuple[str, ...]
    usage: str
    level: Level
    kind: Kind
    note: str
    handler: str
    grouped: bool = False  # Only where the settings name a group.

    @property
    def name(self) -> str:
        return " ".join(self.path)


USER, OPERATOR, ADMIN = Level.USER, Level.OPERATOR, Level.ADMIN


def same(path: str, usage: str, note: str, handler: str, level: Level = USER) -> Entry:
    return Entry(tuple(path.split()), usage, level, Kind.SAME, note, handler)


def mapped(path: str, usage: str, note: str, handler: str, level: Level = USER) -> Entry:
    return Entry(tuple(path.split()), usage, level, Kind.MAPPED, note, handler)


def ours(path: str, usage: str, note: str, handler: str, level: Level = USER) -> Entry:
    return Entry(tuple(path.split()), usage, level, Kind.OURS, note, handler)


def refused(path: str, note: str, level: Level = USER) -> Entry:
    return Entry(tuple(path.split()), "", level, Kind.REFUSED, note, "")


NO_FLOWS = "no flow passes through a coordinator, so there is nothing of the kind here"
NO_TLS = "a coordinator ends no TLS; certificates live with the proxies"
NO_MAPS = "there are no ACLs or maps; which server a flow gets is the tables' to say"
NO_CHECKS = "servers are judged by what proxies meet there, not by checks or agents of the coordinator"
THE_LIST = "servers, their names and addresses are discovery's to tell"
THE_MODULE = (
    "levels are the decision module's to set: it blocks and lets in by what proxies meet, and a "
    "limit put in by hand would be overwritten or push servers over"
)
NO_MASTER = "there is one process and no master; end and start it by its service manager"
NO_TABLES = "there are no stick tables; flows carry no state here"
NO_DEBUG = "debugging of HAProxy's own insides"
PROFILES = "profiling belongs to a tool beside the process, not to the one core it has"
SERVER, WEIGHT = "<backend>/<server>", "<weight>[%]"

TABLE: tuple[Entry, ...] = (
    # Reading
    same("help", "[<command>]", "the commands that this level may use, or those that begin so", "help"),
    mapped(
        "show info",
        "[json|typed] [desc] [float]",
        "what applies of HAProxy's fields, and ours on the relay, the module and the channel",
        "show_info",
    ),
    mapped(
        "show stat",
        "[<zone>|-1 <type> <sid>] [json|typed] [no-maint] [up]",
        "a row a zone and a row a server; columns that mean nothing here stay empty",
        "show_stat",
    ),
    mapped(
        "show servers state",
        "[<backend>]",
        "version 1 of the state file; backend is the zone, operational "
        "state and weights as the module sees them",
        "show_servers_state",
    ),
    mapped(
        "show servers conn",
        "[<backend>]",
        "tries that proxies reported, in place of connections held",
        "show_servers_conn",
    ),
    same("show backend", "", "the zones, under HAProxy's heading", "show_backend"),
    mapped("show activity", "[-1|0|<thread>]", "counts of what passed the coordinator", "show_activity"),
    mapped(
        "show events",
        "[<sink>] [-n|-w|-nw]",
        "the sink `admin`: every accepted, refused, lent and lost wish; -w "
        "goes on until the client leaves, -n begins with what is new",
        "show_events",
    ),
    mapped(
        "show errors",
        "[<count>]",
        "refused commands, orders that the relay did not take, servers lent",
        "show_errors",
        OPERATOR,
    ),
    same("show version", "", "the program's version", "show_version"),
    same("show cli level", "", "the level of this connection", "show_cli_level"),
    same("show cli sockets", "", "the sockets of this API, with level and mode", "show_cli_sockets"),
    same(
        "show env",
        "[<name>]",
        "only the variables that the platform tells a coordinator by",
        "show_env",
        OPERATOR,
    ),
    same("show schema json", "", "the shape of the `json` answers", "show_schema_json"),
    same("get weight", SERVER, "weight in force and the listed one: `2 (initial 1)`", "get_weight"),
    ours(
        "show pending",
        "[<backend>[/<server>]] [json]",
        "wishes that not every proxy has applied, and how far each has come",
        "show_pending",
    ),
    ours(
        "show standing",
        "[<backend>[/<server>]] [json]",
        "what operators want, who said so and when",
        "show_standing",
    ),
    ours(
        "show tables",
        "[<table>] [json]",
        "the lines that the module ordered, and whether the relay answered",
        "show_tables",
    ),
    ours(
        "show group", "[json]", "with a group: a line a member, its state, and whether it leads", "show_group"
    )._replace(grouped=True),
    ours(
        "show maintenance",
        "[json]",
        "with a group: a line a permit to drain, and how far it has come",
        "show_maintenance",
    )._replace(grouped=True),
    ours(
        "show interference",
        "[json]",
        "with a group: a line a pair, who slows whom on shared nodes",
        "show_interference",
    )._replace(grouped=True),
    # Changing
    same(
        "disable server",
        f"{SERVER} | <backend>/*",
        "maintenance: shut out at every proxy as by a drain of the list",
        "disable_server",
        ADMIN,
    ),
    same(
        "enable server", f"{SERVER} | <backend>/*", "takes back drain and maintenance", "enable_server", ADMIN
    ),
    same(
        "set server",
        f"{SERVER}|<backend>/* state ready|drain|maint, weight {WEIGHT}, health up|stopping|down",
        "one wish for one server, or for all of a zone at once",
        "set_server",
        ADMIN,
    ),
    same(
        "set weight",
        f"{SERVER} {WEIGHT}",
        "0 to 256 in the list's units, or 0 to 100 percent of what is listed; 100% goes back to the list",
        "set_weight",
        ADMIN,
    ),
    mapped(
        "wait",
        "{-h | <delay>} [srv-drained|srv-applied|srv-removable <backend>/<server>]",
        "until a wish is "
        "applied or a server drained; srv-removable is both and the list no longer has it "
        "ready",
        "wait",
        ADMIN,
    ),
    ours("apply", "<<", "the commands of the payload, all of them or none", "apply", ADMIN),
    ours(
        "once",
        "<token> <command>",
        "a command that may be sent again: the same token gets the first answer anew",
        "once",
        ADMIN,
    ),
    # The conversation
    same("prompt", "[help|n|i|p|timed]", "n: one-shot, i: interactive, p: with a prompt", "prompt"),
    same("quit", "", "end the connection", "quit"),
    same("user", "", "go down to level user", "user"),
    same("operator", "", "go down to level operator", "operator", OPERATOR),
    same(
        "set severity-output", "none|number|string", "put the severity before messages", "set_severity_output"
    ),
    same("set timeout cli", "<delay>", "how long this connection may stay idle", "set_timeout_cli"),
    mapped(
        "clear counters",
        "[all]",
        "counts in `show activity` and `show stat` start anew for this API; the log's totals go on",
        "clear_counters",
        OPERATOR,
    ),
    same("expert-mode", "[on|off]", "taken, changes nothing: no command here needs it", "mode", ADMIN),
    same("experimental-mode", "[on|off]", "taken, changes nothing: no command here needs it", "mode", ADMIN),
    # Refused: health and agents
    refused("enable health", NO_CHECKS, ADMIN),
    refused("disable health", NO_CHECKS, ADMIN),
    refused("enable agent", NO_CHECKS, ADMIN),
    refused("disable agent", NO_CHECKS, ADMIN),
    # Refused: limits
    refused("set rate-limit connections global", THE_MODULE, ADMIN),
    refused("set rate-limit sessions global", THE_MODULE, ADMIN),
    refused("set rate-limit ssl-sessions global", NO_TLS, ADMIN),
    refused("set rate-limit http-compression global", NO_FLOWS, ADMIN),
    refused("set maxconn frontend", THE_MODULE, ADMIN),
    refused("set maxconn global", THE_MODULE, ADMIN),
    refused("set maxconn server", THE_MODULE, ADMIN),
    # Refused: the list's
    refused("add server", THE_LIST, ADMIN),
    refused("del server", THE_LIST, ADMIN),
    refused("add backend", "zones are the settings' to tell", ADMIN),
    refused("del backend", "zones are the settings' to tell", ADMIN),
    refused("publish backend", "zones are always in use", ADMIN),
    refused("unpublish backend", "zones are always in use", ADMIN),
    refused("enable dynamic-cookie backend", NO_FLOWS, ADMIN),
    refused("disable dynamic-cookie backend", NO_FLOWS, ADMIN),
    refused("set dynamic-cookie-key backend", NO_FLOWS, ADMIN),
    refused("enable frontend", NO_FLOWS, ADMIN),
    refused("disable frontend", NO_FLOWS, ADMIN),
    refused("shutdown frontend", NO_FLOWS, ADMIN),
    refused("shutdown session", NO_FLOWS, ADMIN),
    refused("shutdown sessions server", NO_FLOWS, ADMIN),
    refused("show resolvers", THE_LIST),
    refused("show dev", NO_DEBUG),
    # Refused: flows and their state
    refused("show sess", NO_FLOWS),
    refused("show table", NO_TABLES),
    refused("set table", NO_TABLES, ADMIN),
    refused("clear table", NO_TABLES, ADMIN),
    refused("show peers", "coordinators share nothing with each other"),
    refused("show cache", NO_FLOWS),
    refused("show quic", NO_FLOWS),
    refused("get var", NO_FLOWS),
    refused("set var", NO_FLOWS, ADMIN),
    # Refused: maps and ACLs
    *(
        refused(f"{verb} {what}", NO_MAPS, USER if verb in ("show", "get") else ADMIN)
        for what in ("acl", "map")
        for verb in ("add", "clear", "commit", "del", "get", "prepare", "show")
    ),
    refused("set map", NO_MAPS, ADMIN),
    # Refused: TLS
    *(
        refused(f"{verb} ssl {what}", NO_TLS, USER if verb == "show" else ADMIN)
        for what in ("ca-file", "cert", "crl-file")
        for verb in ("abort", "commit", "del", "new", "set", "show")
    ),
    refused("add ssl ca-file", NO_TLS, ADMIN),
    refused("add ssl crt-list", NO_TLS, ADMIN),
    refused("del ssl crt-list", NO_TLS, ADMIN),
    refused("dump ssl cert", NO_TLS, ADMIN),
    refused("add ssl ech", NO_TLS, ADMIN),
    refused("del ssl ech", NO_TLS, ADMIN),
    refused("set ssl ech", NO_TLS, ADMIN),
    refused("show ssl ech", NO_TLS),
    refused("show ssl crt-list", NO_TLS),
    refused("show ssl ocsp-response", NO_TLS),
    refused("show ssl ocsp-updates", NO_TLS),
    refused("show ssl providers", NO_TLS),
    refused("show ssl sni", NO_TLS),
    refused("show tls-keys", NO_TLS),
    refused("set ssl ocsp-response", NO_TLS, ADMIN),
    refused("set ssl tls-key", NO_TLS, ADMIN),
    refused("update ssl ocsp-response", NO_TLS, ADMIN),
    # Refused: HAProxy's insides
    refused("debug dev", NO_DEBUG, ADMIN),
    refused("debug counters", NO_DEBUG, ADMIN),
    refused("show anon", "answers name servers as the list does"),
    refused("set anon", "answers name servers as the list does", ADMIN),
    refused("show fd", NO_DEBUG),
    refused("show libs", NO_DEBUG),
    refused("show pools", NO_DEBUG),
    refused("show tasks", NO_DEBUG),
    refused("show threads", "there is one thread that decides, and it is answering"),
    refused("show profiling", PROFILES),
    refused("set profiling", PROFILES, ADMIN),
    refused("show trace", PROFILES),
    refused("trace", PROFILES, ADMIN),
    refused("show startup-logs", "the log goes to standard output, from the first line on"),
    refused("dump stats-file", "counts are not carried over a restart", ADMIN),
    refused("httpclient", "a coordinator calls nobody on behalf of others", ADMIN),
    refused("mcli-debug-mode", NO_MASTER, ADMIN),
    refused("show proc", NO_MASTER),
    refused("reload", NO_MASTER, ADMIN),
    refused("hard-reload", NO_MASTER, ADMIN),
)
