/** Tests that what a host takes in of a prefix is bounded before it is decoded. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as entryIntake from "./entry_intake.ts";

const tap = tapModule.default;

/** Largest size of what is kept, in bytes. */
const MAX_KEPT_BYTES = 16 * 1024 * 1024;

function encode(
  key: string,
  options: { readonly bytes: number; readonly onDecode?: () => void },
): entryIntake.EncodedEntry {
  return {
    key,
    modRevision: 1,
    valueBytes: options.bytes,
    decodeValue: () => {
      options.onDecode?.();
      return "x".repeat(options.bytes);
    },
  };
}

// Guards against values that take memory as text before anything has looked at their size.
tap.test("a value that is too long is not decoded", (t) => {
  const { take } = new entryIntake.EntryIntake({
    getMaxValueBytes: (key) => key === "long" ? 2_000 : 0,
    isUsable: () => true,
  });
  const onDecode = () => t.fail("decoded");
  t.match(take(encode("a", { bytes: 1, onDecode })), {
    value: "",
    omittedBytes: 1,
  });
  t.match(take(encode("long", { bytes: 2_001, onDecode })), {
    omittedBytes: 2_001,
  });
  t.equal(take(encode("long", { bytes: 2_000 }))?.value.length, 2_000);
  t.end();
});

// Guards against a server that stays in use although its entry was overwritten by something that names none.
tap.test("an entry that is not kept removes what its key held", (t) => {
  const { take } = new entryIntake.EntryIntake({ isUsable: () => false });
  t.same(entryIntake.takeChange(encode("a", { bytes: 1 }), take), {
    kind: "deleted",
    key: "a",
    modRevision: 1,
  });
  t.end();
});

// Guards against many entries of use of which each is short.
tap.test("what is kept has a bounded size, and room that becomes free is used again", (t) => {
  const writes = fc.array(
    fc.record({
      key: fc.constantFrom(..."abcdefghijklmnopqrstuvwxyz"),
      bytes: fc.integer({ min: 0, max: 1_100_000 }),
      isRemoved: fc.boolean(),
    }),
    { minLength: 30, maxLength: 80 },
  );
  let refused = 0;
  fc.assert(
    fc.property(writes, (all) => {
      const kept = new Map<string, number>();
      const intake = new entryIntake.EntryIntake({
        getMaxValueBytes: () => Infinity,
      });
      all.forEach(({ key, bytes, isRemoved }) => {
        kept.delete(key);
        if (isRemoved) return intake.remove(key);
        const entry = intake.take(encode(key, { bytes }));
        const size = 202 + 2 * bytes;
        const sum = [...kept.values()].reduce((a, b) => a + b, 0);
        t.equal(entry !== undefined, sum + size <= MAX_KEPT_BYTES);
        if (entry === undefined) refused += 1;
        else kept.set(key, size);
      });
    }),
    { numRuns: 100, seed: 90 },
  );
  t.ok(refused > 0, `${refused} had no room`);
  t.end();
});

// Guards against a bound below the size that the hosts are built for.
tap.test("the entries of 12,000 servers have room", (t) => {
  const intake = new entryIntake.EntryIntake();
  const taken = Array.from(
    { length: 12_000 },
    (_, index) => intake.take(encode(`servers/i-${index}`, { bytes: 350 })),
  );
  t.ok(taken.every((entry) => entry !== undefined));
  t.end();
});
