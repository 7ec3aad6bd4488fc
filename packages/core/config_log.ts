/**
 * The configuration as a log of changes. The store holds one record for each
 * revision. Creating record n + 1 commits it, so exactly one of two concurrent
 * publications succeeds. Hosts apply the log in order, forward its changes to
 * other hosts and compare a digest that is chained from record to record.
 */
import * as utils from "@banyangrade/utils";
import * as config from "./config.ts";

/** One committed change. */
export interface ConfigChange {
  readonly revision: number;
  /** Digest of the log up to the previous revision. */
  readonly previousDigest: string;
  readonly puts: readonly config.ConfigPart[];
  readonly removes: readonly config.ConfigPartId[];
  /** Who published the change, for the audit trail. */
  readonly author: string;
  /** Unique per publication attempt; shows a writer that lost the store's response whether its change was committed. */
  readonly writerToken: string;
}

/** Why a change was not applied. */
export type ApplyFailure = "stale" | "gap" | "diverged";

/**
 * Computes the digest of the log up to and including `change`.
 *
 * @example
 * const digest = computeChangeDigest(change);
 */
export function computeChangeDigest(change: ConfigChange): string {
  return utils.computeDigest(utils.formatCanonical(change));
}

/**
 * Applies the next change. The result is `stale` for a change that is not newer
 * than the configuration, so the revision never decreases; `gap` if the change
 * skips a revision; and `diverged` if the change builds on a different history.
 *
 * @example
 * const next = applyChange(configuration, change).unwrap();
 */
export function applyChange(
  configuration: config.Configuration,
  change: ConfigChange,
): utils.Result<config.Configuration, ApplyFailure> {
  if (change.revision <= configuration.revision) return utils.Err("stale");
  if (change.revision > configuration.revision + 1) return utils.Err("gap");
  if (change.previousDigest !== configuration.digest) {
    return utils.Err("diverged");
  }
  return utils.Ok(buildConfiguration(configuration, change));
}

function buildConfiguration(
  base: config.Configuration,
  change: ConfigChange,
): config.Configuration {
  return {
    revision: change.revision,
    digest: computeChangeDigest(change),
    classes: updateParts(base.classes, "class", change),
    customers: updateParts(base.customers, "customer", change),
    keys: updateParts(base.keys, "key", change),
    pools: updateParts(base.pools, "pool", change),
    services: updateParts(base.services, "service", change),
  };
}

/** Copies a map only if the change affects its kind, because most changes affect one kind. */
function updateParts<P extends config.ConfigPart>(
  parts: ReadonlyMap<string, P>,
  kind: P["kind"],
  change: ConfigChange,
): ReadonlyMap<string, P> {
  const prefix = `${kind}/`;
  const removed = change.removes.filter((id) => id.startsWith(prefix));
  const put = change.puts.filter((part): part is P => part.kind === kind);
  if (removed.length === 0 && put.length === 0) return parts;
  const next = new Map(parts);
  removed.forEach((id) => next.delete(id.slice(prefix.length)));
  put.forEach((part) => next.set(part.name, part));
  return next;
}

/** A complete configuration in serialisable form. */
export interface ConfigSnapshot {
  readonly revision: number;
  readonly digest: string;
  readonly parts: readonly config.ConfigPart[];
}

/**
 * Makes a snapshot of a configuration.
 *
 * @example
 * const snapshot = buildSnapshot(configuration);
 */
export function buildSnapshot(
  configuration: config.Configuration,
): ConfigSnapshot {
  return {
    revision: configuration.revision,
    digest: configuration.digest,
    parts: config.listParts(configuration),
  };
}

/**
 * Loads a snapshot.
 *
 * @example
 * loadSnapshot(buildSnapshot(configuration)).revision === configuration.revision;
 */
export function loadSnapshot(snapshot: ConfigSnapshot): config.Configuration {
  const loaded = buildConfiguration(config.EMPTY_CONFIGURATION, {
    revision: snapshot.revision,
    previousDigest: "",
    puts: snapshot.parts,
    removes: [],
    author: "",
    writerToken: "",
  });
  return { ...loaded, digest: snapshot.digest };
}

/** The changes that turn a configuration into the wanted one. */
export interface ConfigDifference {
  readonly puts: readonly config.ConfigPart[];
  readonly removes: readonly config.ConfigPartId[];
}

/**
 * Compares the configuration with the wanted parts. Only parts of the kinds in
 * `owned` are removed, so publishing service files does not remove the keys.
 *
 * @example
 * computeDifference(configuration, { wanted: parts, owned: ["class", "pool"] });
 */
export function computeDifference(
  configuration: config.Configuration,
  options: {
    readonly wanted: readonly config.ConfigPart[];
    readonly owned: readonly config.ConfigPart["kind"][];
  },
): ConfigDifference {
  const current = new Map(
    config.listParts(configuration).map((
      part,
    ) => [config.getPartId(part), utils.formatCanonical(part)]),
  );
  const wantedIds = new Set(options.wanted.map(config.getPartId));
  const owned = new Set<string>(options.owned);
  return {
    puts: options.wanted.filter((part) =>
      current.get(config.getPartId(part)) !== utils.formatCanonical(part)
    ),
    removes: [...current.keys()].filter((id) =>
      owned.has(id.split("/")[0]) && !wantedIds.has(id)
    ),
  };
}
