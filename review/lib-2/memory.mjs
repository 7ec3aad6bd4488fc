/** Reads the memory of a process. */
import * as fs from "node:fs";

/** Returns the bytes of a process's own memory, without the pages of its files (program and libraries); undefined if it does not run. */
export function readPrivate(pid) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
    return 1_024 * Number(/RssAnon:\s+(\d+)/.exec(status)[1]);
  } catch {
    return undefined;
  }
}
