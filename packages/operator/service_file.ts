/**
 * Reads service files: TOML files next to the code of each service, which are
 * published together as the parts of one configuration.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as z from "zod";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** File name suffix of service files. */
export const SERVICE_FILE_SUFFIX = ".banyangrade.toml";

const NAME = z.string().regex(/^[a-z0-9][a-z0-9_.-]*$/, {
  error:
    "A name must begin with a lower-case letter or digit and may contain only lower-case letters, digits, '.', '-' and '_'.",
});
const MILLISECONDS = z.number().positive();

/** Schema of a service file. */
export const SERVICE_FILE_SCHEMA = z.strictObject({
  class: z.array(z.strictObject({
    name: NAME.describe("Name of the service class."),
    tier: z.number().int().min(1).max(99).describe(
      "Priority tier; 1 is the highest.",
    ),
    first_token_ms: MILLISECONDS.describe(
      "Target for the time to first token, or for a plain service's answer.",
    ),
    between_tokens_ms: MILLISECONDS.default(50).describe(
      "Target for the time between tokens.",
    ),
    queue_ms: MILLISECONDS.describe(
      "Longest time a request may wait before it starts.",
    ),
    share: z.number().min(0).max(0.5).default(0).describe(
      "Guaranteed share of each pool's slots under overload.",
    ),
  })).default([]).describe("Service classes."),
  customer: z.array(z.strictObject({
    name: NAME.describe("Name of the customer."),
    classes: z.array(NAME).min(1).describe("Classes it may use."),
    targets: z.array(NAME).min(1).describe(
      "Models and plain services it may call.",
    ),
    pools: z.array(NAME).default([]).describe(
      "Pools that may serve it; empty means every pool.",
    ),
    weight: z.number().positive().default(1).describe(
      "Weight of its fair share within a class.",
    ),
  })).default([]).describe("Customers."),
  pool: z.array(z.strictObject({
    name: NAME.describe("Name of the pool."),
    serves: z.enum(["engine", "service"]).describe(
      "Whether its servers are model engines or plain services.",
    ),
    failure_domain: NAME.describe("Failure domain of its servers."),
    targets: z.array(NAME).min(1).describe(
      "Models or plain services that its servers offer.",
    ),
    slots: z.number().int().min(1).max(1024).describe(
      "Number of concurrent requests that fully use one server.",
    ),
    spot: z.boolean().default(false).describe(
      "Whether the servers can be reclaimed at a few seconds' notice.",
    ),
    cost_per_hour: z.number().nonnegative().default(0).describe(
      "Cost of one server per hour.",
    ),
    checks_fencing: z.boolean().default(false).describe(
      "Whether its servers refuse an order with an outdated fencing token.",
    ),
    min_servers: z.number().int().nonnegative().default(0).describe(
      "Minimum number of servers that the autoscaler orders.",
    ),
    max_servers: z.number().int().nonnegative().default(0).describe(
      "Maximum number of servers that the autoscaler orders; with 0 it does not scale the pool.",
    ),
  })).default([]).describe("Pools of backend servers."),
  service: z.array(z.strictObject({
    name: NAME.describe("Name of the plain service."),
    repeatable: z.array(z.string()).default(["GET", "HEAD"]).describe(
      "HTTP methods whose calls may be repeated.",
    ),
  })).default([]).describe("Plain services."),
});

type ServiceFile = z.infer<typeof SERVICE_FILE_SCHEMA>;

/**
 * Reads all service files below a folder and checks that they are consistent.
 *
 * @example
 * const parts = collectParts("services").unwrap();
 */
export function collectParts(
  folder: string,
): utils.Result<core.ConfigPart[], readonly utils.FileProblem[]> {
  const files = listServiceFiles(folder);
  if (files.length === 0) {
    return utils.Err([buildProblem(folder, {
      option: "",
      message: "The folder contains no service file.",
      remedy: `Service files end in "${SERVICE_FILE_SUFFIX}".`,
    })]);
  }
  const read = files.map((file) => ({
    file,
    content: utils.readTomlFile(file, SERVICE_FILE_SCHEMA),
  }));
  const problems = read.flatMap(({ content }) =>
    content.err ? [...content.val] : []
  );
  if (problems.length > 0) return utils.Err(problems);
  const found = read.flatMap(({ file, content }) =>
    toParts(content.unwrap()).map((part) => ({ file, part }))
  );
  const inconsistencies = checkParts(found);
  return inconsistencies.length > 0
    ? utils.Err(inconsistencies)
    : utils.Ok(found.map(({ part }) => part));
}

function listServiceFiles(folder: string): string[] {
  if (!fs.existsSync(folder)) return [];
  return fs.readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(SERVICE_FILE_SUFFIX))
    .toSorted()
    .map((name) => path.join(folder, name));
}

function toParts(file: ServiceFile): core.ConfigPart[] {
  return [
    ...file.class.map((entry): core.ClassPart => ({
      kind: "class",
      name: entry.name,
      tier: entry.tier,
      firstTokenMs: entry.first_token_ms,
      betweenTokensMs: entry.between_tokens_ms,
      queueMs: entry.queue_ms,
      share: entry.share,
    })),
    ...file.customer.map((entry): core.CustomerPart => ({
      kind: "customer",
      ...entry,
    })),
    ...file.pool.map((entry): core.PoolPart => ({
      kind: "pool",
      name: entry.name,
      serves: entry.serves,
      failureDomain: entry.failure_domain,
      targets: entry.targets,
      slots: entry.slots,
      spot: entry.spot,
      costPerHour: entry.cost_per_hour,
      checksFencing: entry.checks_fencing,
      minServers: entry.min_servers,
      maxServers: entry.max_servers,
    })),
    ...file.service.map((entry): core.ServicePart => ({
      kind: "service",
      ...entry,
    })),
  ];
}

interface FoundPart {
  readonly file: string;
  readonly part: core.ConfigPart;
}

/** Checks the parts of all files for duplicates, invalid references and excessive shares. */
function checkParts(found: readonly FoundPart[]): utils.FileProblem[] {
  const seen = new Map<string, string>();
  const duplicates = found.flatMap(({ file, part }) => {
    const id = core.getPartId(part);
    const first = seen.get(id);
    seen.set(id, file);
    if (first === undefined) return [];
    return [buildProblem(file, {
      option: id,
      message: `It is already defined in ${first}.`,
      remedy: "Remove one of the two definitions.",
    })];
  });
  return [
    ...duplicates,
    ...found.flatMap((entry) => checkReferences(entry, found)),
  ];
}

function checkReferences(
  { file, part }: FoundPart,
  found: readonly FoundPart[],
): utils.FileProblem[] {
  if (part.kind !== "customer") return checkShares({ file, part }, found);
  const names = (kind: core.ConfigPart["kind"]) =>
    found.filter((entry) => entry.part.kind === kind).map((entry) =>
      entry.part.name
    );
  const targets = found.flatMap((entry) =>
    entry.part.kind === "pool" ? [...entry.part.targets] : []
  );
  const missing = [
    ...part.classes.filter((name) => !names("class").includes(name))
      .map((name) => ({ option: "classes", name })),
    ...part.pools.filter((name) => !names("pool").includes(name))
      .map((name) => ({ option: "pools", name })),
    ...part.targets.filter((name) => !targets.includes(name))
      .map((name) => ({ option: "targets", name })),
  ];
  return missing.map(({ option, name }) =>
    buildProblem(file, {
      option: `customer.${part.name}.${option}`,
      message: `"${name}" is not defined.`,
      remedy: "Correct the name, or add a definition for it.",
    })
  );
}

/** Checks that the sum of the guaranteed shares leaves capacity for the higher tiers. */
function checkShares(
  { file, part }: FoundPart,
  found: readonly FoundPart[],
): utils.FileProblem[] {
  if (part.kind !== "class" || part.share === 0) return [];
  const total = found.reduce(
    (sum, entry) => sum + (entry.part.kind === "class" ? entry.part.share : 0),
    0,
  );
  if (total <= 0.5) return [];
  return [buildProblem(file, {
    option: `class.${part.name}.share`,
    message: `The shares of all classes add up to ${total.toFixed(2)}.`,
    remedy: "Keep their sum at 0.5 or below.",
  })];
}

function buildProblem(
  file: string,
  rest: Omit<utils.FileProblem, "file" | "line">,
): utils.FileProblem {
  return { file, line: 0, ...rest };
}
