/** Tests which promises the linter takes for unhandled. */
import * as path from "node:path";
import type * as tapTypes from "tap";
import * as tapModule from "tap";
import * as ts from "typescript";
import * as checkPromises from "./check_promises.ts";

const tap = tapModule.default;

const DECLARATIONS = `
declare function run(): Promise<void>;
declare function runSync(): void;
declare function every(work: () => void): void;
declare function repeat(work: () => void | Promise<void>): void;
`;

/** Whether the linter finds an unhandled promise in a statement. */
function isFound(t: tapTypes.Test, statement: string): boolean {
  const folder = t.testdir({
    "sample.ts":
      `${DECLARATIONS}export async function main() {\n${statement}\n}`,
  });
  const file = path.join(folder, "sample.ts");
  const program = ts.createProgram([file], {
    strict: true,
    target: ts.ScriptTarget.ES2022,
    types: [],
  });
  return checkPromises.findUnhandled(program, (name) => name === file)
    .length > 0;
}

// Guards against a rejection that ends a host with all its requests, since a promise that nobody handles was overlooked.
tap.test("promises that nobody handles are found", (t) => {
  [
    "run();",
    "void run();",
    "true && run();",
    "run().then(runSync);",
    "run().finally(runSync);",
    "every(async () => await run());",
    "every(() => run());",
    "every(() => void run());",
  ].forEach((statement) => t.equal(isFound(t, statement), true, statement));
  t.end();
});

// Guards against a check that is switched off because it reports what is sound.
tap.test("promises with a handler, and other calls, are not", (t) => {
  [
    "await run();",
    "return run();",
    "runSync();",
    "void runSync();",
    "let kept; kept = run();",
    "run().catch(runSync);",
    "run().then(runSync, runSync);",
    "run().catch(runSync).finally(runSync);",
    "repeat(() => run());",
    "every(() => runSync());",
  ].forEach((statement) => t.equal(isFound(t, statement), false, statement));
  t.end();
});
