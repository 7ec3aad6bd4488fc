/** The cases of trouble that the bench runs. */
import type * as scenarios from "./scenario.ts";

/** Length of a run in virtual ms, its start-up not measured. */
export const RUN_MS = 125_000;

/** When trouble begins and ends. */
export const FROM = 20_000;
/** End of the trouble. */
export const TO = 80_000;

/** The cases, from none to all at once. */
export const CASES: readonly scenarios.Case[] = [
  { name: "steady", troubles: [] },
  {
    name: "burst to 3x",
    troubles: [{ kind: "burst", from: FROM, to: TO }],
  },
  {
    name: "engine at a third",
    troubles: [{ kind: "slow_engine", from: FROM, to: TO, factor: 3 }],
  },
  { name: "engine crash", troubles: [{ kind: "crash", at: FROM, backAt: TO }] },
  {
    name: "spot reclaimed",
    troubles: [{ kind: "reclaim", at: FROM, noticeMs: 5_000, backAt: TO }],
  },
  {
    name: "no load reports",
    troubles: [{ kind: "no_reports", from: FROM, to: TO }],
  },
  {
    name: "greedy customer",
    troubles: [{ kind: "greedy", from: FROM, to: TO, factor: 12 }],
  },
  { name: "poison request", troubles: [{ kind: "poison", at: FROM }] },
  {
    name: "all at once",
    troubles: [
      { kind: "burst", from: FROM, to: TO },
      { kind: "slow_engine", from: FROM, to: TO, factor: 3 },
      { kind: "crash", at: FROM + 10_000, backAt: TO },
      { kind: "reclaim", at: FROM + 20_000, noticeMs: 5_000, backAt: TO },
      { kind: "poison", at: FROM + 30_000 },
    ],
  },
];
