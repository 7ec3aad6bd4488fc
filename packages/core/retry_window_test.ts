/** The retry budget over all hosts, counted by an oracle over every span. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const BOUND = { ratio: 0.2, slack: 56, windowMs: 10_000 };

interface Sent {
  readonly at: number;
  readonly retry: boolean;
}

/** The most by which retries exceed the bound in any window. */
function findExcess(sent: readonly Sent[]): number {
  return Math.max(
    0,
    ...sent.filter(({ retry }) => retry).map(({ at: end }) => {
      const within = sent.filter(({ at }) =>
        at <= end && at > end - BOUND.windowMs
      );
      const retries = within.filter(({ retry }) => retry).length;
      const first = within.length - retries;
      return retries - (BOUND.ratio * first + BOUND.slack);
    }),
  );
}

// Every server fails. Each host alone keeps a budget, and together they must
// not send more retries in any window than the platform allows, whatever the
// callers' rhythm and however unevenly they are spread over the hosts.
tap.test("hosts together keep the bound over every window", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(
        fc.record({
          gapMs: fc.integer({ min: 0, max: 400 }),
          host: fc.nat({ max: 11 }),
          tries: fc.integer({ min: 0, max: 3 }),
        }),
        { minLength: 50, maxLength: 400 },
      ),
      (hosts, arrivals) => {
        const budgets = Array.from(
          { length: hosts },
          () => new core.WindowRetryBudget(BOUND, { hosts }),
        );
        const sent: Sent[] = [];
        let now = 0;
        arrivals.forEach(({ gapMs, host, tries }) => {
          now += gapMs;
          const budget = budgets[host % hosts];
          budget.recordFirst("rooms", now);
          sent.push({ at: now, retry: false });
          Array.from({ length: tries }).forEach(() => {
            if (budget.take("rooms", now)) sent.push({ at: now, retry: true });
          });
        });
        return findExcess(sent) === 0;
      },
    ),
    { seed: 4242, numRuns: 200 },
  );
  t.pass("no window over the bound");
  t.end();
});

tap.test("services have budgets of their own, and windows end", (t) => {
  const budget = new core.WindowRetryBudget(BOUND, { hosts: 8 });
  const takeAll = (target: string, now: number) =>
    Array.from({ length: 50 }).filter(() => budget.take(target, now)).length;
  const first = takeAll("rooms", 0);
  t.ok(first > 0 && first < 8);
  t.equal(takeAll("rooms", 100), 0);
  t.equal(takeAll("planner", 100), first);
  t.equal(takeAll("rooms", 11_000), first);
  t.end();
});
