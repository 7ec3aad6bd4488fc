/** Tests of random identifiers, which operators copy from logs to command lines. */
import * as tapModule from "tap";
import * as utils from "./mod.ts";

const tap = tapModule.default;

// Guards against an identifier that a command parses as an option. With a dash in
// the alphabet, one in sixty identifiers began with it.
tap.test("an identifier contains only letters and digits", (t) => {
  const ids = Array.from({ length: 1_000 }, () => utils.createId());
  t.ok(ids.every((id) => /^[0-9A-Za-z]{22}$/.test(id)));
  t.equal(new Set(ids).size, ids.length);
  t.end();
});
