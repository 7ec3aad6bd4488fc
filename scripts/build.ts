/**
 * Builds the program: one bundled file, and from it one binary that needs no
 * installed Node (a Node executable with the bundle injected).
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as esbuild from "esbuild";

const ROOT = path.join(import.meta.dirname, "..");
const OUT = path.join(ROOT, "dist");
/** Bundle that runs with an installed Node. */
export const BUNDLE = path.join(OUT, "banyangrade.cjs");
const BINARY = path.join(OUT, "banyangrade");
/** Marker that Node looks for in its own executable; fixed by Node. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/**
 * Bundles the program into one file.
 *
 * @example
 * await buildBundle();
 */
export async function buildBundle(): Promise<void> {
  await bundle({ entry: "packages/banyangrade/main.ts", outfile: BUNDLE });
}

/**
 * Bundles one entry file with all that it imports.
 *
 * @example
 * await bundle({ entry: "platform/main.ts", outfile: "target/banyangrade.cjs" });
 */
export async function bundle(
  { entry, outfile, minify = false }: {
    readonly entry: string;
    readonly outfile: string;
    readonly minify?: boolean;
  },
): Promise<void> {
  await esbuild.build({
    entryPoints: [path.join(ROOT, entry)],
    outfile,
    bundle: true,
    minify,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    minifySyntax: true,
    logLevel: "warning",
  });
}

function buildBinary(): void {
  const config = path.join(OUT, "sea.json");
  const blob = path.join(OUT, "sea.blob");
  fs.writeFileSync(
    config,
    JSON.stringify({
      main: BUNDLE,
      output: blob,
      disableExperimentalSEAWarning: true,
    }),
  );
  run(process.execPath, ["--experimental-sea-config", config]);
  fs.copyFileSync(process.execPath, BINARY);
  fs.chmodSync(BINARY, 0o755);
  run(process.execPath, [
    path.join(ROOT, "node_modules/postject/dist/cli.js"),
    BINARY,
    "NODE_SEA_BLOB",
    blob,
    "--sentinel-fuse",
    FUSE,
  ]);
}

function run(command: string, options: readonly string[]): void {
  childProcess.execFileSync(command, [...options], { stdio: "inherit" });
}

if (process.argv[1] === import.meta.filename) {
  await buildBundle();
  buildBinary();
}
