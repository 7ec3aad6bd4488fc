/** Every guard that `npm run mutate` removes is still where it is looked for. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as mutations from "./mutations.ts";

const ROOT = path.join(import.meta.dirname, "..");

tap.t.test("no removal has lost its guard", (t) => {
  // A guard moves to another module and its removal is never tried again:
  // nobody would notice a test that no longer sees it.
  const lost = mutations.MUTATIONS.filter(({ file, find, also }) => {
    const text = fs.readFileSync(path.join(ROOT, file), "utf8");
    const once = text.replace(find, "");
    return once === text || (also !== undefined && !once.includes(also.find));
  });
  t.same(lost.map(({ name }) => name), []);
  t.end();
});
