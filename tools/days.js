/**
 * Generates the test days (fault schedules) under deploy/days: `node tools/days.js [SEED]`. Each day combines faults
 * that aggravate one another or repeats a fault; the start times are drawn from the seed.
 */
import * as fs from "node:fs";
import * as random from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";

const seed = Number(process.argv[2] ?? 20_261_204);
const directory = "deploy/days";

/** Faults by day; `at` is the range of the start time in seconds, and `plan` marks a planned operation. */
const days = {
    "store-away-for-some-primary-dies": [
        { kind: "platform_down", how: "nodes silent", share: 0.4, for_s: 9, at: [3, 5] },
        { kind: "srv_crash", how: "dark primary", for_s: 7, at: [5, 8] },
    ],
    "store-away-for-all-primary-dies": [
        { kind: "platform_down", how: "silent lapse", for_s: 6, at: [4, 6] },
        { kind: "srv_crash", how: "primary", for_s: 8, at: [5, 8] },
    ],
    "promoter-freezes-as-primary-dies": [
        { kind: "srv_crash", how: "dark primary", for_s: 8, at: [5, 6] },
        { kind: "node_freeze", on: "core", count: 1, how: "leader", for_s: 3, at: [5.3, 7.5] },
    ],
    "promoter-killed-as-primary-dies": [
        { kind: "srv_crash", how: "primary", for_s: 8, at: [5, 6] },
        { kind: "node_kill", on: "core", count: 1, how: "leader", at: [5.3, 7.5] },
        { kind: "node_kill", on: "core", count: 1, how: "leader", at: [8, 10] },
    ],
    "keys-withdrawn-during-cuts": [
        { kind: "node_cut", share: 0.35, how: "meet", for_s: 6, at: [3, 5] },
        { kind: "revoke", count: 3, gap_s: 0.7, plan: true, at: [4, 6] },
        { kind: "platform_down", how: "nodes reset revoke", share: 0.35, for_s: 6, at: [14, 16] },
    ],
    "slow-primaries": [
        { kind: "srv_slow", share: 1, x: 5, for_s: 6, at: [4, 6] },
        { kind: "burst", x: 1.5, for_s: 3, at: [5, 7] },
        { kind: "answer_lost", share: 0.5, x: 0.05, for_s: 5, at: [14, 16] },
    ],
    "primary-moves-twice": [
        { kind: "release", how: "primary", plan: true, at: [3, 4] },
        { kind: "srv_crash", how: "primary", for_s: 6, at: [6, 9] },
        { kind: "release", how: "primary", plan: true, at: [18, 20] },
    ],
    "primary-cut-each-way": [
        { kind: "primary_cut", how: "replicas", share: 0.4, for_s: 5, at: [3, 4] },
        { kind: "primary_cut", how: "core", share: 0.4, for_s: 5, at: [12, 13] },
        { kind: "primary_cut", how: "heals", share: 0.5, for_s: 5, at: [21, 22] },
    ],
    "replicas-deaf-and-lagging": [
        { kind: "replica_lag", how: "deaf crash", count: 1, for_s: 6, at: [3, 4] },
        { kind: "replica_lag", share: 1, x: 80, for_s: 6, at: [14, 16] },
        { kind: "srv_crash", how: "dark primary", for_s: 6, at: [16, 18] },
    ],
    "answers-of-the-store-lost-in-a-storm": [
        { kind: "platform_lost", how: "late", x: 0.4, for_s: 6, at: [3, 4] },
        { kind: "config_storm", for_s: 4, gap_s: 0.3, plan: true, at: [4, 5] },
        { kind: "srv_crash", how: "primary", for_s: 6, at: [5, 7] },
        { kind: "platform_compact", for_s: 6, x: 5, at: [18, 20] },
    ],
    "clocks-and-slow-hosts": [
        { kind: "clock_step", share: 0.5, x: 2400, how: "back", for_s: 4, at: [3, 4] },
        { kind: "clock_step", share: 0.5, x: 2400, how: "ahead", for_s: 4, at: [10, 12] },
        { kind: "node_slow", share: 0.3, x: 4, for_s: 5, at: [16, 18] },
        { kind: "reset_conns", share: 0.4, x: 0.5, at: [23, 25] },
        { kind: "hup", share: 0.5, at: [26, 28] },
    ],
    "reborn-behind-a-cut": [
        { kind: "srv_cut", how: "reborn", share: 0.3, for_s: 6, at: [4, 6] },
        { kind: "srv_cut", how: "one_way", share: 0.3, for_s: 5, at: [16, 18] },
    ],
    "hosts-replaced-under-a-hot-organisation": [
        { kind: "hot_tenant", x: 7.5, count: 1, for_s: 9, at: [3, 4] },
        { kind: "replace_core", how: "leader", x: 2, at: [4, 6] },
        { kind: "herd_kill", share: 0.6, at: [14, 16] },
        { kind: "roll_term", share: 0.5, x: 1, gap_s: 1.3, how: "busy", plan: true, at: [20, 22] },
    ],
    "hosts-slow-while-the-primary-moves": [
        { kind: "node_slow", share: 0.4, x: 6, for_s: 7, at: [3, 4] },
        { kind: "release", how: "primary", plan: true, at: [5, 6] },
        { kind: "node_slow", on: "core", count: 1, how: "leader", x: 8, for_s: 6, at: [15, 16] },
        { kind: "srv_crash", how: "dark primary", for_s: 6, at: [16, 17] },
    ],
    "hosts-freeze-and-wake": [
        { kind: "node_freeze", share: 0.4, for_s: 3, at: [3, 4] },
        { kind: "node_freeze", on: "core", count: 1, how: "renewed", for_s: 4, at: [10, 12] },
        { kind: "node_freeze", on: "core", count: 2, how: "leader", for_s: 2, at: [18, 20] },
    ],
    "hosts-added-in-a-burst": [
        { kind: "add_nodes", at: [3, 4] },
        { kind: "big_config", count: 600, plan: true, at: [3, 5] },
        { kind: "burst", x: 1.4, for_s: 5, at: [4, 6] },
    ],
    "endpoints-flap-while-the-store-is-away": [
        { kind: "srv_flap", share: 0.3, gap_s: 1.1, for_s: 8, at: [3, 4] },
        { kind: "platform_down", how: "busy", for_s: 4, at: [7, 8] },
        { kind: "srv_flap", share: 0.5, gap_s: 0.6, for_s: 5, at: [18, 20] },
    ],
    "settings-change-under-load": [
        { kind: "hup", share: 0.6, plan: true, at: [3, 4] },
        { kind: "roll_term", share: 0.5, x: 1, gap_s: 1.5, how: "busy", plan: true, at: [8, 9] },
        { kind: "hup", share: 1, plan: true, at: [10, 12] },
        { kind: "reset_conns", share: 0.5, x: 0.6, at: [22, 24] },
    ],
};

const rng = generators.xoroshiro128plus(seed);

/** Draws a start time from the range, in seconds, to a tenth of a second. */
function drawStartTime([from, to]) {
    const tenths = random.uniformInt(rng, Math.round(from * 10), Math.round(to * 10));
    return tenths / 10;
}

/** Formats a fault as an inline table of TOML. */
function formatFault(fault) {
    const fields = Object.entries({ ...fault, at: drawStartTime(fault.at) }).filter(([name]) => name !== "plan").map((
        [name, value],
    ) => `${name} = ${JSON.stringify(value)}`);
    return `    { ${fields.join(", ")} },`;
}

fs.mkdirSync(directory, { recursive: true });
for (const [name, faults] of Object.entries(days)) {
    const formatFaults = planned => faults.filter(fault => (fault.plan === true) === planned).map(formatFault);
    const text = [
        "[[day]]",
        `name = "${name}"`,
        `slot = "trouble"`,
        `seed = ${seed}`,
        `closing = { kind = "power_off_all", down_s = 1.2 }`,
        `goal = { floor = 0.2 }`,
        "plan = [",
        ...formatFaults(true),
        "]",
        "faults = [",
        ...formatFaults(false),
        "]",
        "",
    ].join("\n");
    fs.writeFileSync(`${directory}/${name}.toml`, text);
}
