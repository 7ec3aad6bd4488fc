/** Tests that a prefix cache returns what the store would return, or reports that it cannot. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import type * as client from "./client.ts";
import type * as prefixWatch from "./prefix_watch.ts";
import * as prefixCache from "./prefix_cache.ts";

const tap = tapModule.default;

function buildEntry(key: string, modRevision: number): client.StoreEntry {
  return { key, modRevision, value: `${key} at ${modRevision}` };
}

/** Returns a follower's entries after changes are applied to them. */
function applyAll(
  held: ReadonlyMap<string, client.StoreEntry>,
  changes: readonly prefixWatch.Change[],
): Map<string, client.StoreEntry> {
  const next = new Map(held);
  changes.forEach((change) => {
    if (change.kind === "put") next.set(change.entry.key, change.entry);
    else next.delete(change.key);
  });
  return next;
}

// Guards against a removed server that stays in use at one host: the server leaves
// while the relay reads the list in full, and a follower that polls from a revision
// before that read would get an empty list of changes.
tap.test("changes from before a full read are reported as unknown", (t) => {
  const cache = new prefixCache.PrefixCache();
  cache.setAll({ entries: [buildEntry("a", 1)], revision: 5 }, 0);
  cache.setAll({ entries: [], revision: 9 }, 10);
  t.equal(cache.listSince(5), undefined);
  t.same(cache.listSince(9), { changes: [], revision: 9 });
  t.end();
});

tap.test("the time of the last proof never decreases, and the first read sets it", (t) => {
  const cache = new prefixCache.PrefixCache();
  t.equal(cache.currentAsOf, Number.NEGATIVE_INFINITY);
  cache.setAll({ entries: [], revision: 1 }, 100);
  cache.apply({ changes: [], revision: 1 }, 50);
  t.equal(cache.currentAsOf, 100);
  t.end();
});

tap.test("changes are reported as unknown if removals were discarded", (t) => {
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

// The oracle is a plain map that receives every change. A follower polls the cache
// at arbitrary times from its last revision and must hold the same entries.
tap.test("a follower of the cache holds the same entries as the store", (t) => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    kind: fc.constantFrom("put", "delete", "reread", "ask"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const cache = new prefixCache.PrefixCache();
      cache.setAll({ entries: [], revision: 0 }, 0);
      let expected = new Map<string, client.StoreEntry>();
      let held = new Map<string, client.StoreEntry>();
      let [revision, followerRevision] = [0, 0];
      steps.forEach(({ key, kind }) => {
        if (kind === "ask") {
          const since = cache.listSince(followerRevision);
          held = since === undefined
            ? new Map(cache.read().entries.map((entry) => [entry.key, entry]))
            : applyAll(held, since.changes);
          followerRevision = cache.read().revision;
          if (
            JSON.stringify([...held].sort()) !==
              JSON.stringify([...expected].sort())
          ) {
            throw new Error(
              `the follower's entries differ from the store's at revision ${revision}`,
            );
          }
          return;
        }
        if (kind === "reread") {
          return cache.setAll({ entries: [...expected.values()], revision }, 0);
        }
        revision += 1;
        const change: prefixWatch.Change = kind === "put"
          ? { kind: "put", entry: buildEntry(key, revision) }
          : { kind: "deleted", key, modRevision: revision };
        expected = applyAll(expected, [change]);
        cache.apply({ changes: [change], revision }, 0);
      });
    }),
    { seed: 7, numRuns: Number(process.env.FUZZ_RUNS ?? 500) },
  );
  t.pass("all entries were equal");
  t.end();
});
