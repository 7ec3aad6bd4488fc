/**
 * The cases that the benchmark runs: disturbances of the load and the servers.
 */
import type * as scenarios from "./scenario.ts";

/**
 * Length of a run, in virtual ms; the start and the end of it are not counted.
 */
export const RUN_MS = 125_000;

/** Start of the disturbances, in virtual ms. */
export const FROM = 20_000;
/** End of the disturbances, in virtual ms. */
export const TO = 80_000;

/** All cases, from no disturbance to several at once. */
export const CASES: readonly scenarios.Case[] = [
  { name: "steady", disturbances: [] },
  {
    name: "burst to 3x",
    disturbances: [{ kind: "burst", from: FROM, to: TO }],
  },
  {
    name: "engine at a third",
    disturbances: [{ kind: "slow_engine", from: FROM, to: TO, factor: 3 }],
  },
  {
    name: "engine crash",
    disturbances: [{ kind: "crash", at: FROM, restoredAt: TO }],
  },
  {
    name: "spot reclaimed",
    disturbances: [{
      kind: "reclaim",
      at: FROM,
      noticeMs: 5_000,
      restoredAt: TO,
    }],
  },
  {
    name: "no load reports",
    disturbances: [{ kind: "no_reports", from: FROM, to: TO }],
  },
  {
    name: "greedy customer",
    disturbances: [{ kind: "greedy", from: FROM, to: TO, factor: 12 }],
  },
  { name: "poison request", disturbances: [{ kind: "poison", at: FROM }] },
  {
    name: "all at once",
    disturbances: [
      { kind: "burst", from: FROM, to: TO },
      { kind: "slow_engine", from: FROM, to: TO, factor: 3 },
      { kind: "crash", at: FROM + 10_000, restoredAt: TO },
      { kind: "reclaim", at: FROM + 20_000, noticeMs: 5_000, restoredAt: TO },
      { kind: "poison", at: FROM + 30_000 },
    ],
  },
];
