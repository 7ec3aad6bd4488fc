/** A copy of a prefix answers like the store would, or says that it cannot. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import type * as client from "./client.ts";
import type * as feed from "./feed.ts";
import * as prefixCache from "./prefix_cache.ts";

const tap = tapModule.default;

function buildEntry(key: string, modRevision: number): client.StoreEntry {
  return { key, modRevision, value: `${key} at ${modRevision}` };
}

/** What a follower holds after changes were applied to what it held before. */
function applyAll(
  held: ReadonlyMap<string, client.StoreEntry>,
  changes: readonly feed.Change[],
): Map<string, client.StoreEntry> {
  const next = new Map(held);
  changes.forEach((change) => {
    if (change.kind === "put") next.set(change.entry.key, change.entry);
    else next.delete(change.key);
  });
  return next;
}

// A server leaves while its relay reads the list in full. A follower that asks
// for what has changed since before that read must not be told "nothing": the
// server would stay in use at that host alone.
tap.test("removals before a full read are not known", (t) => {
  const cache = new prefixCache.PrefixCache();
  cache.setAll({ entries: [buildEntry("a", 1)], revision: 5 }, 0);
  cache.setAll({ entries: [], revision: 9 }, 10);
  t.equal(cache.listSince(5), undefined);
  t.same(cache.listSince(9), { changes: [], revision: 9 });
  t.end();
});

tap.test("a proof only grows, and the first read makes one", (t) => {
  const cache = new prefixCache.PrefixCache();
  t.equal(cache.provedAt, Number.NEGATIVE_INFINITY);
  cache.setAll({ entries: [], revision: 1 }, 100);
  cache.apply({ changes: [], revision: 1 }, 50);
  t.equal(cache.provedAt, 100);
  t.end();
});

tap.test("more removals than are kept are not forgotten in silence", (t) => {
  const cache = new prefixCache.PrefixCache();
  cache.setAll({ entries: [], revision: 0 }, 0);
  Array.from({ length: 1_200 }, (_, index) => index + 1).forEach((revision) =>
    cache.apply({
      changes: [{
        kind: "deleted",
        key: `k${revision}`,
        modRevision: revision,
      }],
      revision,
    }, revision)
  );
  t.equal(cache.listSince(100), undefined);
  t.equal(cache.listSince(1_150)?.changes.length, 50);
  t.end();
});

// The oracle is a plain map that sees every change. A follower asks the copy at
// any time, from any revision that it has reached, and must hold the same.
tap.test("whoever follows the copy holds what the store holds", (t) => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    kind: fc.constantFrom("put", "delete", "reread", "ask"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const cache = new prefixCache.PrefixCache();
      cache.setAll({ entries: [], revision: 0 }, 0);
      let truth = new Map<string, client.StoreEntry>();
      let held = new Map<string, client.StoreEntry>();
      let [revision, reached] = [0, 0];
      steps.forEach(({ key, kind }) => {
        if (kind === "ask") {
          const since = cache.listSince(reached);
          held = since === undefined
            ? new Map(cache.read().entries.map((entry) => [entry.key, entry]))
            : applyAll(held, since.changes);
          reached = cache.read().revision;
          if (
            JSON.stringify([...held].sort()) !==
              JSON.stringify([...truth].sort())
          ) {
            throw new Error(`differs at revision ${revision}`);
          }
          return;
        }
        if (kind === "reread") {
          return cache.setAll({ entries: [...truth.values()], revision }, 0);
        }
        revision += 1;
        const change: feed.Change = kind === "put"
          ? { kind: "put", entry: buildEntry(key, revision) }
          : { kind: "deleted", key, modRevision: revision };
        truth = applyAll(truth, [change]);
        cache.apply({ changes: [change], revision }, 0);
      });
    }),
    { seed: 7, numRuns: Number(process.env.FUZZ_RUNS ?? 500) },
  );
  t.pass("held alike");
  t.end();
});
