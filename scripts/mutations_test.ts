/**
 * Checks that every mutation of `npm run mutate` still applies to the source.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as mutations from "./mutations.ts";

const ROOT = path.join(import.meta.dirname, "..");

tap.t.test("every mutation finds the text that it replaces", (t) => {
  // Guards against a mutation that is no longer run because the code was moved or
  // changed; a test that stops detecting the fault would then go unnoticed.
  const unmatched = mutations.MUTATIONS.filter(({ file, find, also }) => {
    const text = fs.readFileSync(path.join(ROOT, file), "utf8");
    const mutated = text.replace(find, "");
    return mutated === text ||
      (also !== undefined && !mutated.includes(also.find));
  });
  t.same(unmatched.map(({ name }) => name), []);
  t.end();
});
