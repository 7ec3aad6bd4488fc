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

/** What to bundle, and how. */
export interface BundleOptions {
  /** Path from the root. */
  readonly entry: string;
  readonly minify?: boolean;
  /** Files, from the root, that take the place of modules by their exact names. */
  readonly replacements?: Readonly<Record<string, string>>;
  /** Names that are replaced by constants. */
  readonly define?: Record<string, string>;
}

/**
 * Bundles one entry file with all that it imports.
 *
 * @example
 * await bundle({ entry: "platform/main.ts", outfile: "dist/host.cjs" });
 */
export async function bundle(
  { outfile, ...options }: BundleOptions & { readonly outfile: string },
): Promise<void> {
  fs.mkdirSync(path.dirname(outfile), { recursive: true });
  fs.writeFileSync(outfile, (await bundleText(options)).text);
}

/** A bundle. */
export interface Bundled {
  readonly text: string;
  /** Files that are in it, from the folder of the process. */
  readonly files: readonly string[];
}

/**
 * Bundles one entry file and returns the text.
 *
 * @example
 * const { text } = await bundleText({ entry: "platform/main.ts", minify: true });
 */
export async function bundleText(
  { entry, minify = false, replacements = {}, define = {} }: BundleOptions,
): Promise<Bundled> {
  const { outputFiles, metafile } = await esbuild.build({
    entryPoints: [path.join(ROOT, entry)],
    write: false,
    metafile: true,
    bundle: true,
    minify,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    minifySyntax: true,
    logLevel: "warning",
    define,
    plugins: [swapModules(replacements)],
  });
  const [{ inputs }] = Object.values(metafile.outputs);
  const files = Object.entries(inputs)
    .filter(([, { bytesInOutput }]) => bytesInOutput > 0)
    .map(([file]) => file);
  return { text: outputFiles[0].text, files };
}

function swapModules(
  replacements: Readonly<Record<string, string>>,
): esbuild.Plugin {
  return {
    name: "replacements",
    setup: ({ onResolve }) =>
      Object.entries(replacements).forEach(([module, file]) =>
        onResolve(
          { filter: new RegExp(`^${module}$`) },
          () => ({ path: path.join(ROOT, file) }),
        )
      ),
  };
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
