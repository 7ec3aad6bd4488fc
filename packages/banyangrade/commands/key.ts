/** `banyangrade key`: creates, withdraws and lists callers' keys. */
import * as core from "@banyangrade/core";
import * as operator from "@banyangrade/operator";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as reachModule from "../reach.ts";
import * as table from "../table.ts";
import * as publish from "./publish.ts";

/** Time to wait for a withdrawal to be in force everywhere, in seconds. */
const WAIT_SECONDS = 10;

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  return await reachModule.useReach(
    input.options,
    (reach) => runAction(reach, input),
  );
}

async function runAction(
  reach: reachModule.Reach,
  input: commandLine.CommandInput,
): Promise<number> {
  const [action, name, ...classes] = input.arguments;
  switch (action) {
    case "create":
      return await createKey(reach, { input, customer: name, classes });
    case "withdraw":
      return await withdrawKey(reach, { input, name });
    case "list":
      return await listKeys(reach, input);
    default:
      process.stderr.write("Write: key create, key withdraw or key list.\n");
      return commandLine.EXIT.usage;
  }
}

async function createKey(
  reach: reachModule.Reach,
  options: {
    readonly input: commandLine.CommandInput;
    readonly customer: string;
    readonly classes: readonly string[];
  },
): Promise<number> {
  const read = await store.readConfiguration(
    reach.store,
    core.EMPTY_CONFIGURATION,
  );
  if (read.err) return publish.printError(read.val);
  const customer = read.val.configuration.customers.get(options.customer);
  const wrong = options.classes.filter((name) =>
    !customer?.classes.includes(name)
  );
  if (customer === undefined || wrong.length > 0) {
    process.stderr.write(
      customer === undefined
        ? `There is no customer "${options.customer}".\n`
        : `The customer may not use: ${wrong.join(", ")}.\n`,
    );
    return commandLine.EXIT.usage;
  }
  const granted = options.classes.length > 0
    ? options.classes
    : customer.classes;
  const { secret, part } = core.createKey(customer.name, granted);
  const committed = await operator.commitAgain(reach.store, {
    difference: { puts: [part], removes: [] },
    author: publish.getAuthor(options.input.options),
  });
  if (committed.err) return publish.printError(committed.val);
  const shown = options.input.options.json === true
    ? JSON.stringify({ name: part.name, key: secret })
    : `Key ${part.name} (shown once):\n${secret}`;
  process.stdout.write(`${shown}\n`);
  const revision = committed.val.revision;
  const behind = await reachModule.waitInForce(reach, {
    revision,
    seconds: WAIT_SECONDS,
  });
  return behind.ok && behind.val.length === 0
    ? commandLine.EXIT.ok
    : commandLine.EXIT.notInForce;
}

/**
 * Withdraws a key. The hosts are told first: they pass it on among themselves,
 * so it works while the store is down, and the change in the store makes it last.
 */
async function withdrawKey(
  reach: reachModule.Reach,
  { input, name }: {
    readonly input: commandLine.CommandInput;
    readonly name: string;
  },
): Promise<number> {
  const told = await reachModule.askAnyHost(
    reach,
    (client, signal) => client.withdrawKey.mutate(name, { signal }),
  );
  const committed = await operator.commitAgain(reach.store, {
    difference: { puts: [], removes: [`key/${name}`] },
    author: publish.getAuthor(input.options),
  });
  if (committed.err) {
    process.stderr.write(
      told.ok
        ? "The hosts that can be reached refuse the key now, but the store " +
          "does not hold the withdrawal yet: run this again.\n"
        : "Neither a host nor the store could be told: run this again.\n",
    );
    return publish.printError(committed.val);
  }
  process.stdout.write(`Key ${name} is withdrawn.\n`);
  return await publish.confirmInForce(reach, {
    revision: committed.val.revision,
    seconds: WAIT_SECONDS,
  });
}

async function listKeys(
  reach: reachModule.Reach,
  input: commandLine.CommandInput,
): Promise<number> {
  const read: utils.Result<store.ReadConfiguration, utils.StepError> =
    await store.readConfiguration(reach.store, core.EMPTY_CONFIGURATION);
  if (read.err) return publish.printError(read.val);
  const keys = [...read.val.configuration.keys.values()]
    .map(({ name, customer, classes }) => ({ name, customer, classes }));
  const text = input.options.json === true
    ? JSON.stringify({ keys })
    : table.formatTable(
      ["key", "customer", "classes"],
      keys.map((key) => [key.name, key.customer, key.classes.join(", ")]),
    );
  process.stdout.write(`${text}\n`);
  return commandLine.EXIT.ok;
}
