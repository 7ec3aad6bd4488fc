/** Tables for terminals, 80 columns wide. */
import * as cliTable from "cli-table3";

/** Widest a cell may be, so that a row of four fits in 80 columns. */
const MAX_CELL = 36;

/**
 * Formats rows under headings without frames.
 *
 * @example
 * formatTable(["host", "revision"], [["a", "3"]]);
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new cliTable.default({
    head: [...headings],
    style: { head: [], border: [], "padding-left": 0, "padding-right": 2 },
    chars: EMPTY_FRAME,
  });
  rows.forEach((row) =>
    table.push(row.map((cell) => shortenCell(String(cell))))
  );
  return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}

const EMPTY_FRAME = Object.fromEntries(
  [
    "top",
    "top-mid",
    "top-left",
    "top-right",
    "bottom",
    "bottom-mid",
    "bottom-left",
    "bottom-right",
    "left",
    "left-mid",
    "mid",
    "mid-mid",
    "right",
    "right-mid",
    "middle",
  ].map((name) => [name, ""]),
);

function shortenCell(text: string): string {
  return text.length <= MAX_CELL ? text : `${text.slice(0, MAX_CELL - 1)}…`;
}
