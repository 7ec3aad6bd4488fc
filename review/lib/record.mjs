// Record of a case: what was sent, answered and run.
import * as fs from "node:fs";

export const TROUBLE = process.env.TROUBLE !== "0";

/** Opens record.txt in the folder of the case. */
export function openRecord(folder) {
  const startedAt = performance.now();
  const out = fs.openSync(`${folder}/record.txt`, "w");
  const at = (time) => ((time ?? performance.now()) - startedAt).toFixed(0).padStart(6);
  const write = (text, time) => fs.writeSync(out, `${at(time)} ms  ${text}\n`);
  return {
    write,
    say: (text) => {
      write(text);
      console.log(text);
    },
    sent: (answer, to) => {
      write(`sent ${answer.id} ${answer.path} to ${to}`, answer.sentAt);
      const result = answer.outcome === "answer"
        ? `answered ${answer.id} ${answer.status}`
        : `ended ${answer.id} ${answer.outcome} ${answer.error ?? ""}`;
      write(result, answer.endedAt);
    },
    run: (run) => write(`run ${run.attempt} ${run.path} by ${run.worker}`, run.at),
    close: () => fs.closeSync(out),
  };
}

/** Runs a case and exits with 1 if it returns that the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(work) {
  const limit = setTimeout(() => {
    console.log("The case did not end in time.");
    process.exit(2);
  }, 115_000);
  try {
    const broken = await work();
    clearTimeout(limit);
    process.exit(broken === undefined ? 2 : broken ? 1 : 0);
  } catch (error) {
    console.log(error);
    process.exit(2);
  }
}
