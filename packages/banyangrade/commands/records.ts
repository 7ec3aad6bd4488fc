/** `banyangrade usage`, `orders` and `customer`: lists entries of the store. */
import * as core from "@banyangrade/core";
import type * as fleet from "@banyangrade/fleet";
import * as store from "@banyangrade/store";
import * as commandLine from "../command_line.ts";
import * as operatorConnection from "../operator_connection.ts";
import * as table from "../table.ts";
import * as publish from "./publish.ts";

/** A table that a command prints; the headings are also the keys of its JSON output. */
interface Listing {
  readonly headings: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** A final usage window as the store keeps it. */
interface StoredWindow {
  readonly fixed: core.FinalWindow;
  readonly reported: boolean;
}

/** Runs `banyangrade usage`. */
export async function runUsage(
  input: commandLine.CommandInput,
): Promise<number> {
  return await printEntries(input, {
    prefix: "banyangrade/usage/",
    headings: ["window", "reported", "requests", "output tokens", "adjusts"],
    toRow: (value) => {
      const { fixed, reported } = JSON.parse(value) as StoredWindow;
      const figures = Object.values(fixed.figures);
      const sum = (field: keyof core.UsageFigures) =>
        figures.reduce((total, one) => total + one[field], 0);
      return [
        core.getWindowId(fixed.failureDomain, fixed.window),
        reported ? "yes" : "no",
        sum("requests"),
        sum("outputTokens"),
        fixed.adjustments.map((one) => one.window).join(", "),
      ];
    },
  });
}

/** Runs `banyangrade orders`. */
export async function runOrders(
  input: commandLine.CommandInput,
): Promise<number> {
  return await printEntries(input, {
    prefix: "banyangrade/orders/",
    headings: ["pool", "servers ordered", "fencing token"],
    toRow: (value) => {
      const intent = JSON.parse(value) as fleet.OrderIntent;
      return [intent.pool, intent.count, intent.fencingToken];
    },
  });
}

/** Runs `banyangrade customer`. */
export async function runCustomers(
  input: commandLine.CommandInput,
): Promise<number> {
  return await operatorConnection.withConnection(
    input.options,
    async (connection) => {
      const read = await store.readConfiguration(
        connection.store,
        core.EMPTY_CONFIGURATION,
      );
      if (read.err) return publish.printError(read.val);
      const { customers, keys } = read.val.configuration;
      return printListing(input, {
        headings: ["customer", "classes", "targets", "keys"],
        rows: [...customers.values()].map((customer) => [
          customer.name,
          customer.classes.join(", "),
          customer.targets.join(", "),
          [...keys.values()].filter((key) => key.customer === customer.name)
            .length,
        ]),
      });
    },
  );
}

async function printEntries(
  input: commandLine.CommandInput,
  options: {
    readonly prefix: string;
    readonly headings: readonly string[];
    readonly toRow: (value: string) => readonly (string | number)[];
  },
): Promise<number> {
  return await operatorConnection.withConnection(
    input.options,
    async (connection) => {
      const listed = await connection.store.list(options.prefix);
      if (listed.err) return publish.printError(listed.val);
      return printListing(input, {
        headings: options.headings,
        rows: listed.val.map((entry) => options.toRow(entry.value)),
      });
    },
  );
}

function printListing(
  input: commandLine.CommandInput,
  { headings, rows }: Listing,
): number {
  const objects = rows.map((row) =>
    Object.fromEntries(row.map((cell, index) => [headings[index], cell]))
  );
  const text = input.options.json === true
    ? JSON.stringify(objects)
    : table.formatTable(headings, rows);
  process.stdout.write(`${text}\n`);
  return commandLine.EXIT.ok;
}
