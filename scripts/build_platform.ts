/** Bundles the program for the users' platform into one file, since each start of a process is paid for. */
import * as path from "node:path";
import * as build from "./build.ts";

const OUT = path.join(
  import.meta.dirname,
  "..",
  "target",
  "banyangrade.cjs",
);

await build.bundle({
  entry: "platform/main.ts",
  outfile: OUT,
  minify: true,
});
