/**
 * Shows that the checks can fail: removes one guard at a time in a copy of the
 * tree and runs the test that must notice. `npm run mutate`.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as mutations from "./mutations.ts";

const ROOT = path.join(import.meta.dirname, "..");

/** Copies the tree; dependencies are linked, our own packages are the copy's. */
function copyTree(): string {
  const copy = fs.mkdtempSync(path.join(os.tmpdir(), "banyangrade-mutate-"));
  ["packages", "platform", "playground", "scripts", "bench"].forEach((folder) =>
    fs.cpSync(path.join(ROOT, folder), path.join(copy, folder), {
      recursive: true,
    })
  );
  fs.copyFileSync(
    path.join(ROOT, "package.json"),
    path.join(copy, "package.json"),
  );
  const modules = path.join(copy, "node_modules");
  fs.mkdirSync(path.join(modules, "@banyangrade"), { recursive: true });
  fs.readdirSync(path.join(ROOT, "node_modules"))
    .filter((name) => name !== "@banyangrade")
    .forEach((name) =>
      fs.symlinkSync(
        path.join(ROOT, "node_modules", name),
        path.join(modules, name),
      )
    );
  fs.readdirSync(path.join(copy, "packages")).forEach((name) =>
    fs.symlinkSync(
      path.join(copy, "packages", name),
      path.join(modules, "@banyangrade", name),
    )
  );
  return copy;
}

/** Runs a test in the copy; true if it passes. */
function runTest(copy: string, test: string): boolean {
  const ran = childProcess.spawnSync(
    process.execPath,
    ["--import=tsx", test],
    { cwd: copy, encoding: "utf8", timeout: 120_000 },
  );
  return ran.status === 0;
}

/** Removes a guard and runs its test; true if the test noticed. */
function isNoticed(copy: string, mutation: mutations.Mutation): boolean {
  const file = path.join(copy, mutation.file);
  const text = fs.readFileSync(file, "utf8");
  if (!text.includes(mutation.find)) {
    throw new Error(`${mutation.name}: ${mutation.file} lacks the guard.`);
  }
  const once = text.replace(mutation.find, mutation.replace);
  const { also } = mutation;
  fs.writeFileSync(file, also ? once.replace(also.find, also.replace) : once);
  const passed = runTest(copy, mutation.test);
  fs.writeFileSync(file, text);
  return !passed;
}

const copy = copyTree();
const only = process.argv[2];
const chosen = mutations.MUTATIONS
  .filter((mutation) => only === undefined || mutation.name.includes(only));
// A test that fails anyway would seem to notice everything.
new Set(chosen.map((mutation) => mutation.test)).forEach((test) => {
  if (!runTest(copy, test)) throw new Error(`${test} fails as it is.`);
});
const missed = chosen
  .filter((mutation) => {
    const noticed = isNoticed(copy, mutation);
    process.stdout.write(
      `${noticed ? "noticed" : "MISSED "}  ${mutation.name}\n`,
    );
    return !noticed;
  });
fs.rmSync(copy, { recursive: true, force: true });
process.stdout.write(`${missed.length} missed\n`);
process.exitCode = missed.length === 0 ? 0 : 1;
