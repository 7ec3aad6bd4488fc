/** Identifiers that operators copy from logs. */
import * as tapModule from "tap";
import * as utils from "./mod.ts";

const tap = tapModule.default;

// Guards against an identifier that a command takes for an option, as one in sixty did that began with a dash.
tap.test("an identifier holds letters and digits only", (t) => {
  const ids = Array.from({ length: 1_000 }, () => utils.createId());
  t.ok(ids.every((id) => /^[0-9A-Za-z]{22}$/.test(id)));
  t.equal(new Set(ids).size, ids.length);
  t.end();
});
