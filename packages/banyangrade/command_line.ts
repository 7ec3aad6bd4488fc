/**
 * The commands, their options and their help texts. A command's module is
 * loaded only when the command runs.
 */
import * as util from "node:util";

/** Exit codes of the commands. */
export const EXIT = {
  ok: 0,
  /** The command was valid but could not be carried out. */
  failed: 1,
  /** The command line, a settings file or a service file is invalid. */
  usage: 2,
  /** Another operator published a revision first; nothing was committed. */
  overtaken: 3,
  /** The change is committed, but is not in force at every host. */
  notInForce: 4,
} as const;

/** Parsed options of a command, by name. */
export type Options = Readonly<Record<string, string | boolean | undefined>>;

/** Parsed arguments that a command is run with. */
export interface CommandInput {
  readonly options: Options;
  readonly arguments: readonly string[];
}

interface Command {
  readonly summary: string;
  readonly usage: string;
  readonly example: string;
  readonly options: Readonly<Record<string, "string" | "boolean">>;
  readonly load: () => Promise<{
    readonly run: (input: CommandInput) => Promise<number | undefined>;
  }>;
}

/** Options of the commands that connect to the store and the hosts. */
const CONNECTION_OPTIONS = {
  operator: "string",
  store: "string",
  host: "string",
  "secret-file": "string",
  json: "boolean",
} as const;

const COMMANDS: Readonly<Record<string, Command>> = {
  serve: {
    summary: "Run a host.",
    usage: "serve --settings FILE",
    example: "banyangrade serve --settings host.toml",
    options: { settings: "string" },
    load: () => import("./commands/serve.ts"),
  },
  check: {
    summary: "Check settings and service files without running anything.",
    usage: "check [--settings FILE] [--services FOLDER] [--json]",
    example: "banyangrade check --settings host.toml --services services",
    options: { settings: "string", services: "string", json: "boolean" },
    load: () => import("./commands/check.ts"),
  },
  publish: {
    summary: "Publish the service files below a folder to all hosts.",
    usage: "publish --services FOLDER [--dry-run] [--wait SECONDS]",
    example: "banyangrade publish --operator operator.toml --services services",
    options: {
      ...CONNECTION_OPTIONS,
      services: "string",
      "dry-run": "boolean",
      wait: "string",
      author: "string",
    },
    load: () => import("./commands/publish.ts"),
  },
  status: {
    summary: "Show hosts, revisions in force, roles, classes and servers.",
    usage: "status [--json]",
    example: "banyangrade status --operator operator.toml",
    options: CONNECTION_OPTIONS,
    load: () => import("./commands/status.ts"),
  },
  key: {
    summary: "Create, withdraw or list the API keys of customers.",
    usage: "key create CUSTOMER CLASS... | key withdraw NAME | key list",
    example: "banyangrade key create studio-rosenheim lookup booking",
    options: { ...CONNECTION_OPTIONS, author: "string" },
    load: () => import("./commands/key.ts"),
  },
  customer: {
    summary: "List customers with their classes, targets and number of keys.",
    usage: "customer [--json]",
    example: "banyangrade customer --operator operator.toml",
    options: CONNECTION_OPTIONS,
    load: async () => ({ run: (await loadRecords()).runCustomers }),
  },
  usage: {
    summary: "List the usage windows that the store still holds.",
    usage: "usage [--json]",
    example: "banyangrade usage --operator operator.toml",
    options: CONNECTION_OPTIONS,
    load: async () => ({ run: (await loadRecords()).runUsage }),
  },
  orders: {
    summary: "List the number of servers that is ordered for each pool.",
    usage: "orders [--json]",
    example: "banyangrade orders --operator operator.toml",
    options: CONNECTION_OPTIONS,
    load: async () => ({ run: (await loadRecords()).runOrders }),
  },
  explain: {
    summary:
      "Explain why a request was refused, a class waits or a server idles.",
    usage: "explain request ID [--log FILE] | explain class NAME | " +
      "explain server NAME",
    example: "banyangrade explain request 2f8579f066be2260 --log hosts.log",
    options: { ...CONNECTION_OPTIONS, log: "string" },
    load: () => import("./commands/explain.ts"),
  },
  drain: {
    summary: "Drain one host and wait until it has stopped.",
    usage: "drain --host ADDRESS",
    example: "banyangrade drain --host 127.0.0.1:7080 --operator operator.toml",
    options: CONNECTION_OPTIONS,
    load: () => import("./commands/drain.ts"),
  },
};

const CONNECTION_HELP = `
Connection to the store and the hosts:
  --operator FILE     operator settings (store_url, hosts, secret_file)
  --store URL         URL of the key-value service; overrides store_url
  --host ADDRESS      peer address of a host; overrides hosts
  --secret-file FILE  shared secret of the hosts; overrides secret_file
  --json              print JSON instead of a table
`;

/**
 * Runs a command and returns its exit code, or undefined while the command
 * keeps running.
 *
 * @example
 * const code = await runCommand(["check", "--settings", "host.toml"]);
 */
export async function runCommand(
  argv: readonly string[],
): Promise<number | undefined> {
  const [name, ...rest] = argv;
  if (name === undefined || name === "--help" || name === "help") {
    process.stdout.write(formatOverview());
    return name === undefined ? EXIT.usage : EXIT.ok;
  }
  const command = COMMANDS[name];
  if (command === undefined) {
    process.stderr.write(
      `Unknown command "${name}". Run "banyangrade help" for the list of commands.\n`,
    );
    return EXIT.usage;
  }
  return await parseAndRun(command, rest);
}

async function parseAndRun(
  command: Command,
  rest: readonly string[],
): Promise<number | undefined> {
  const options = Object.fromEntries(
    Object.entries({ ...command.options, help: "boolean" as const })
      .map(([option, type]) => [option, { type }]),
  );
  try {
    const parsed = util.parseArgs({
      args: [...rest],
      options,
      allowPositionals: true,
    });
    if (parsed.values.help === true) {
      process.stdout.write(formatHelp(command));
      return EXIT.ok;
    }
    const loaded = await command.load();
    return await loaded.run({
      options: parsed.values as Options,
      arguments: parsed.positionals,
    });
  } catch (thrown) {
    if (!(thrown instanceof TypeError)) throw thrown;
    process.stderr.write(`${thrown.message}\n\n${formatHelp(command)}`);
    return EXIT.usage;
  }
}

function loadRecords() {
  return import("./commands/records.ts");
}

function formatOverview(): string {
  const lines = Object.entries(COMMANDS).map(([name, command]) =>
    `  ${name.padEnd(10)} ${command.summary}`
  );
  return `banyangrade: a router for language-model traffic\n\nCommands:\n${
    lines.join("\n")
  }\n\nRun "banyangrade COMMAND --help" for its options.\n`;
}

function formatHelp(command: Command): string {
  const connectionHelp = "operator" in command.options ? CONNECTION_HELP : "";
  return `${command.summary}\n\nUsage:\n  banyangrade ${command.usage}\n\n` +
    `Example:\n  ${command.example}\n${connectionHelp}\n` +
    `Exit codes: 0 done, 1 failed, 2 invalid arguments or file, ` +
    `3 another operator published first, 4 not in force at every host\n`;
}
