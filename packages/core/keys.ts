/** Callers' keys: made with enough entropy, shown once, stored as digests. */
import * as utils from "@banyangrade/utils";
import type * as config from "./config.ts";

const KEY_PREFIX = "bg";

/** A new key and the part that is stored of it. */
export interface CreatedKey {
  /** Shown once and kept nowhere. */
  readonly secret: string;
  readonly part: config.KeyPart;
}

/**
 * Creates a key for a customer.
 *
 * @example
 * const { secret, part } = createKey("studio-1", ["lookup"]);
 */
export function createKey(
  customer: string,
  classes: readonly string[],
): CreatedKey {
  const name = utils.createId().replaceAll(/[_-]/g, "x").slice(0, 12);
  const secret = `${KEY_PREFIX}_${name}_${utils.createId()}`;
  const digest = utils.computeDigest(secret);
  return { secret, part: { kind: "key", name, customer, digest, classes } };
}

/** What a valid key allows. */
export interface KeyGrant {
  readonly key: config.KeyPart;
  readonly customer: config.CustomerPart;
}

/**
 * Finds what a presented key allows; undefined if it is unknown, withdrawn or
 * its customer is gone.
 *
 * @example
 * const grant = findGrant(configuration, "bg_...");
 */
export function findGrant(
  configuration: config.Configuration,
  secret: string,
): KeyGrant | undefined {
  const [prefix, name] = secret.split("_", 2);
  const key = configuration.keys.get(name ?? "");
  // The digest is computed in either case, so time does not tell known names.
  const digest = utils.computeDigest(secret);
  if (prefix !== KEY_PREFIX || key === undefined) return undefined;
  if (!utils.isSameDigest(key.digest, digest)) return undefined;
  const customer = configuration.customers.get(key.customer);
  return customer && { key, customer };
}

/**
 * Resolves the class of a request: the one asked for if the key and the
 * customer grant it, else the key's first one. A header can narrow but not
 * widen what the key grants.
 *
 * @example
 * resolveClass(grant, { asked: undefined, classes });
 */
export function resolveClass(
  grant: KeyGrant,
  options: {
    readonly asked: string | undefined;
    readonly classes: ReadonlyMap<string, config.ClassPart>;
  },
): config.ClassPart | undefined {
  const granted = grant.key.classes.filter((name) =>
    grant.customer.classes.includes(name)
  );
  const name = options.asked ?? granted[0];
  return granted.includes(name) ? options.classes.get(name) : undefined;
}
