/**
 * Builds the program: a bundle that runs with Node, and a single executable
 * application, which is a copy of the Node executable with the bundle injected.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as esbuild from "esbuild";

const ROOT = path.join(import.meta.dirname, "..");
const OUTPUT_FOLDER = path.join(ROOT, "dist");
/** Path of the bundle, which runs with an installed Node. */
export const BUNDLE = path.join(OUTPUT_FOLDER, "banyangrade.cjs");
const BINARY = path.join(OUTPUT_FOLDER, "banyangrade");
/** Sentinel that Node searches for in its executable; defined by Node. */
const SENTINEL = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/**
 * Bundles the program into one file.
 *
 * @example
 * await buildBundle();
 */
export async function buildBundle(): Promise<void> {
  await bundle({ entry: "packages/banyangrade/main.ts", outfile: BUNDLE });
}

/** Options of {@link bundleText}. */
export interface BundleOptions {
  /** Path relative to the root of the repository. */
  readonly entry: string;
  readonly minify?: boolean;
  /**
   * Files that replace modules, by the pattern that the whole import specifier
   * must match; paths are relative to the root of the repository.
   */
  readonly replacements?: Readonly<Record<string, string>>;
  /** Global identifiers that are replaced by constant expressions. */
  readonly define?: Record<string, string>;
}

/**
 * Bundles an entry file with its imports and writes the bundle to `outfile`.
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

/** The text of a bundle and its inputs. */
export interface Bundled {
  readonly text: string;
  /**
   * Input files that contribute to the bundle, relative to the working
   * directory.
   */
  readonly files: readonly string[];
}

/**
 * Bundles an entry file with its imports and returns the text.
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
    plugins: [createReplacementPlugin(replacements)],
  });
  const [{ inputs }] = Object.values(metafile.outputs);
  const files = Object.entries(inputs)
    .filter(([, { bytesInOutput }]) => bytesInOutput > 0)
    .map(([file]) => file);
  return { text: outputFiles[0].text, files };
}

function createReplacementPlugin(
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
  const config = path.join(OUTPUT_FOLDER, "sea.json");
  const blob = path.join(OUTPUT_FOLDER, "sea.blob");
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
    SENTINEL,
  ]);
}

function run(command: string, args: readonly string[]): void {
  childProcess.execFileSync(command, [...args], { stdio: "inherit" });
}

if (process.argv[1] === import.meta.filename) {
  await buildBundle();
  buildBinary();
}
