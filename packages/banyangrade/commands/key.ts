/** `banyangrade key`: creates, withdraws and lists the API keys of customers. */
import * as core from "@banyangrade/core";
import * as operator from "@banyangrade/operator";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as operatorConnection from "../operator_connection.ts";
import * as table from "../table.ts";
import * as publish from "./publish.ts";

/** Time limit for a new or withdrawn key to be in force at every host, in seconds. */
const IN_FORCE_TIMEOUT_SECONDS = 10;

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  return await operatorConnection.withConnection(
    input.options,
    (connection) => runAction(connection, input),
  );
}

async function runAction(
  connection: operatorConnection.OperatorConnection,
  input: commandLine.CommandInput,
): Promise<number> {
  const [action, name, ...classes] = input.arguments;
  switch (action) {
    case "create":
      return await createKey(connection, { input, customer: name, classes });
    case "withdraw":
      return await withdrawKey(connection, { input, name });
    case "list":
      return await listKeys(connection, input);
    default:
      process.stderr.write(
        "Usage: key create CUSTOMER CLASS..., key withdraw NAME or key list.\n",
      );
      return commandLine.EXIT.usage;
  }
}

async function createKey(
  connection: operatorConnection.OperatorConnection,
  options: {
    readonly input: commandLine.CommandInput;
    readonly customer: string;
    readonly classes: readonly string[];
  },
): Promise<number> {
  const read = await store.readConfiguration(
    connection.store,
    core.EMPTY_CONFIGURATION,
  );
  if (read.err) return publish.printError(read.val);
  const customer = read.val.configuration.customers.get(options.customer);
  const deniedClasses = options.classes.filter((name) =>
    !customer?.classes.includes(name)
  );
  if (customer === undefined || deniedClasses.length > 0) {
    process.stderr.write(
      customer === undefined
        ? `There is no customer "${options.customer}".\n`
        : `The customer may not use these classes: ${
          deniedClasses.join(", ")
        }.\n`,
    );
    return commandLine.EXIT.usage;
  }
  const granted = options.classes.length > 0
    ? options.classes
    : customer.classes;
  const { secret, part } = core.createKey(customer.name, granted);
  const committed = await operator.commitWithRetry(connection.store, {
    difference: { puts: [part], removes: [] },
    author: publish.getAuthor(options.input.options),
  });
  if (committed.err) return publish.printError(committed.val);
  const text = options.input.options.json === true
    ? JSON.stringify({ name: part.name, key: secret })
    : `Key ${part.name} (shown once):\n${secret}`;
  process.stdout.write(`${text}\n`);
  const revision = committed.val.revision;
  const outdated = await operatorConnection.waitUntilInForce(connection, {
    revision,
    seconds: IN_FORCE_TIMEOUT_SECONDS,
  });
  return outdated.ok && outdated.val.length === 0
    ? commandLine.EXIT.ok
    : commandLine.EXIT.notInForce;
}

/**
 * Withdraws a key. The command tells a host first, because the hosts forward
 * the withdrawal to each other even while the store is down. The change in the
 * store makes the withdrawal permanent.
 */
async function withdrawKey(
  connection: operatorConnection.OperatorConnection,
  { input, name }: {
    readonly input: commandLine.CommandInput;
    readonly name: string;
  },
): Promise<number> {
  const notified = await operatorConnection.callAnyHost(
    connection,
    (client, signal) => client.withdrawKey.mutate(name, { signal }),
  );
  const committed = await operator.commitWithRetry(connection.store, {
    difference: { puts: [], removes: [`key/${name}`] },
    author: publish.getAuthor(input.options),
  });
  if (committed.err) {
    process.stderr.write(
      notified.ok
        ? "The hosts that can be reached refuse the key now, but the " +
          "withdrawal is not in the store yet: run this again.\n"
        : "Neither a host nor the store accepted the withdrawal: run this again.\n",
    );
    return publish.printError(committed.val);
  }
  process.stdout.write(`Key ${name} is withdrawn.\n`);
  return await publish.confirmInForce(connection, {
    revision: committed.val.revision,
    seconds: IN_FORCE_TIMEOUT_SECONDS,
  });
}

async function listKeys(
  connection: operatorConnection.OperatorConnection,
  input: commandLine.CommandInput,
): Promise<number> {
  const read: utils.Result<store.ReadConfiguration, utils.StepError> =
    await store.readConfiguration(connection.store, core.EMPTY_CONFIGURATION);
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
