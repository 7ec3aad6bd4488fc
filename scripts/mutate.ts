/**
 * `npm run mutate`: mutation tests. Applies one mutation at a time to a copy of
 * the repository and checks that the test of the mutation fails.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as mutations from "./mutations.ts";

const ROOT = path.join(import.meta.dirname, "..");

/**
 * Copies the source and links the dependencies; imports of own packages resolve
 * to the copy.
 */
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

/** Runs a test in the copy; returns whether it passes. */
function runTest(copy: string, test: string): boolean {
  const ran = childProcess.spawnSync(
    process.execPath,
    ["--import=tsx", test],
    { cwd: copy, encoding: "utf8", timeout: 120_000 },
  );
  return ran.status === 0;
}

/**
 * Applies a mutation, runs its test and restores the file; returns whether the
 * test failed.
 */
function isDetected(copy: string, mutation: mutations.Mutation): boolean {
  const file = path.join(copy, mutation.file);
  const text = fs.readFileSync(file, "utf8");
  if (!text.includes(mutation.find)) {
    throw new Error(
      `${mutation.name}: text to replace not found in ${mutation.file}; update scripts/mutations.ts`,
    );
  }
  const mutated = text.replace(mutation.find, mutation.replace);
  const { also } = mutation;
  fs.writeFileSync(
    file,
    also ? mutated.replace(also.find, also.replace) : mutated,
  );
  const passed = runTest(copy, mutation.test);
  fs.writeFileSync(file, text);
  return !passed;
}

const copy = copyTree();
const nameFilter = process.argv[2];
const chosen = mutations.MUTATIONS
  .filter((mutation) =>
    nameFilter === undefined || mutation.name.includes(nameFilter)
  );
// A test that fails without a mutation would appear to detect every mutation.
new Set(chosen.map((mutation) => mutation.test)).forEach((test) => {
  if (!runTest(copy, test)) throw new Error(`${test} fails without a mutation`);
});
const missed = chosen
  .filter((mutation) => {
    const detected = isDetected(copy, mutation);
    process.stdout.write(
      `${detected ? "noticed" : "MISSED "}  ${mutation.name}\n`,
    );
    return !detected;
  });
fs.rmSync(copy, { recursive: true, force: true });
process.stdout.write(`${missed.length} missed\n`);
process.exitCode = missed.length === 0 ? 0 : 1;
