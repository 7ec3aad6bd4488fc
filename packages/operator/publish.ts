/** Publishes the parts of the service files as a configuration revision. */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

/** Kinds of configuration parts that service files define. API keys are managed by a separate command. */
export const SERVICE_FILE_KINDS = [
  "class",
  "customer",
  "pool",
  "service",
] as const;
/** Maximum number of attempts to commit a change that conflicts with concurrent changes. */
const MAX_COMMIT_ATTEMPTS = 5;

/** Outcome of a publication. */
export type PublishOutcome =
  | { readonly kind: "unchanged"; readonly revision: number }
  | {
    readonly kind: "committed";
    readonly change: core.ConfigChange;
  }
  | { readonly kind: "overtaken"; readonly by: core.ConfigChange };

/**
 * Publishes the given parts, and removes published parts of {@link SERVICE_FILE_KINDS}
 * that are not among them.
 *
 * @example
 * const outcome = await publishParts(client, { parts, author: "ana" });
 */
export async function publishParts(
  client: store.StoreClient,
  options: {
    readonly parts: readonly core.ConfigPart[];
    readonly author: string;
  },
): Promise<utils.Result<PublishOutcome, utils.StepError>> {
  const read = await store.readConfiguration(client, core.EMPTY_CONFIGURATION);
  if (read.err) return read;
  const { configuration } = read.val;
  const difference = core.computeDifference(configuration, {
    wanted: options.parts,
    owned: SERVICE_FILE_KINDS,
  });
  if (difference.puts.length + difference.removes.length === 0) {
    return utils.Ok({ kind: "unchanged", revision: configuration.revision });
  }
  const committed = await store.commitChange(client, {
    configuration,
    difference,
    author: options.author,
  });
  if (committed.ok && committed.val.kind === "committed") {
    await store.compactLog(
      client,
      core.applyChange(configuration, committed.val.change).unwrap(),
    );
  }
  return committed;
}

/**
 * Commits a change and retries it after a conflict with a concurrent change. Only
 * for changes that do not depend on the rest of the configuration, such as the
 * creation or withdrawal of a key.
 *
 * @example
 * await commitWithRetry(client, { difference: { puts: [part], removes: [] }, author });
 */
export async function commitWithRetry(
  client: store.StoreClient,
  options: {
    readonly difference: core.ConfigDifference;
    readonly author: string;
  },
): Promise<utils.Result<core.ConfigChange, utils.StepError>> {
  for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
    const read = await store.readConfiguration(
      client,
      core.EMPTY_CONFIGURATION,
    );
    if (read.err) return read;
    const committed = await store.commitChange(client, {
      configuration: read.val.configuration,
      ...options,
    });
    if (committed.err) return committed;
    if (committed.val.kind === "committed") {
      return utils.Ok(committed.val.change);
    }
  }
  return utils.Err(utils.createStepError("conflict", {
    step: "operator.commit",
    peer: "store",
    message:
      `${MAX_COMMIT_ATTEMPTS} attempts conflicted with concurrent changes; try again.`,
  }));
}
