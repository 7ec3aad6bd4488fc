/** Formats tables for terminals that are 80 columns wide. */
import * as cliTable from "cli-table3";

/** Maximum width of a cell, in characters. Longer texts are shortened, so that a row of four cells fits in 80 columns. */
const MAX_CELL_WIDTH = 36;

/**
 * Formats rows under headings as a table without borders.
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
    chars: NO_BORDERS,
  });
  rows.forEach((row) =>
    table.push(row.map((cell) => shortenCell(String(cell))))
  );
  return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}

const NO_BORDERS = Object.fromEntries(
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
  return text.length <= MAX_CELL_WIDTH
    ? text
    : `${text.slice(0, MAX_CELL_WIDTH - 1)}…`;
}
