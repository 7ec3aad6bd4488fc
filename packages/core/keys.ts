/** API keys of customers: random secrets that are shown once and stored only as digests. */
import * as utils from "@banyangrade/utils";
import type * as config from "./config.ts";

const KEY_PREFIX = "bg";

/** A new key and the configuration part that is stored for it. */
export interface CreatedKey {
  /** Shown once and never stored. */
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

/** A valid key and the customer to which it belongs. */
export interface KeyGrant {
  readonly key: config.KeyPart;
  readonly customer: config.CustomerPart;
}

/**
 * Finds the grant of a caller's key; undefined if the key is unknown or
 * withdrawn, or if its customer no longer exists.
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
  // The digest is computed even for an unknown key, so that the response time
  // does not reveal which key names exist.
  const digest = utils.computeDigest(secret);
  if (prefix !== KEY_PREFIX || key === undefined) return undefined;
  if (!utils.isSameDigest(key.digest, digest)) return undefined;
  const customer = configuration.customers.get(key.customer);
  return customer && { key, customer };
}

/**
 * Resolves the class of a request: the requested class, or without one the first
 * class of the key that the customer may use. The result is undefined unless
 * both the key and the customer allow the class, so a request header can
 * restrict but not extend what the key grants.
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
