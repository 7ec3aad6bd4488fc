/** Publication: from service files to a committed revision. */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

/** Kinds of parts that service files own; keys are made by their own command. */
export const OWNED_KINDS = ["class", "customer", "pool", "service"] as const;
/** Tries of a change that needs no decision by its operator after losing a race. */
const COMMIT_TRIES = 5;

/** What a publication came to. */
export type PublishOutcome =
  | { readonly kind: "unchanged"; readonly revision: number }
  | {
    readonly kind: "committed";
    readonly change: core.ConfigChange;
  }
  | { readonly kind: "overtaken"; readonly by: core.ConfigChange };

/**
 * Publishes the wanted parts.
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
    owned: OWNED_KINDS,
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
 * Commits a change that is right whatever others publish meanwhile, such as a
 * key's creation or withdrawal, again behind whoever won the race.
 *
 * @example
 * await commitAgain(client, { difference: { puts: [part], removes: [] }, author });
 */
export async function commitAgain(
  client: store.StoreClient,
  options: {
    readonly difference: core.ConfigDifference;
    readonly author: string;
  },
): Promise<utils.Result<core.ConfigChange, utils.StepError>> {
  for (let attempt = 0; attempt < COMMIT_TRIES; attempt += 1) {
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
    message: `Others published first ${COMMIT_TRIES} times; try again.`,
  }));
}
