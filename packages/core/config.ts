/** The operators' configuration as a set of typed parts, each with a stable identifier. */

import type * as coldStarts from "./cold_starts.ts";

/** A service class: its priority and its latency targets. */
export interface ClassPart {
  readonly kind: "class";
  readonly name: string;
  /** Priority tier; 1 is the highest. */
  readonly tier: number;
  /** Target for the time to first token, or for the complete response of a plain service, in ms. */
  readonly firstTokenMs: number;
  /** Target for the time between tokens, in ms. */
  readonly betweenTokensMs: number;
  /** Longest time a request may wait before it starts, in ms. */
  readonly queueMs: number;
  /** Guaranteed share of each pool's slots under overload, in [0, 1). */
  readonly share: number;
}

/** A customer, and the classes, targets and pools that it may use. */
export interface CustomerPart {
  readonly kind: "customer";
  readonly name: string;
  readonly classes: readonly string[];
  /** Models and plain services the customer may call. */
  readonly targets: readonly string[];
  /** Pools that may serve the customer; empty means every pool. */
  readonly pools: readonly string[];
  /** Weight of the customer's fair share within a class. */
  readonly weight: number;
}

/** A customer's API key, stored as a digest; the key itself is never stored. */
export interface KeyPart {
  readonly kind: "key";
  readonly name: string;
  readonly customer: string;
  /** SHA-256 of the secret, hexadecimal. */
  readonly digest: string;
  /** Classes that the key grants; the first is the default. */
  readonly classes: readonly string[];
}

/** What a pool's backend servers run: inference engines or plain services. */
export type PoolKind = "engine" | "service";

/** A set of identical backend servers in one failure domain. */
export interface PoolPart {
  readonly kind: "pool";
  readonly name: string;
  readonly serves: PoolKind;
  readonly failureDomain: string;
  /** Models or plain services that the servers offer. */
  readonly targets: readonly string[];
  /** Number of concurrent requests that use one server fully. */
  readonly slots: number;
  /** Whether the servers are spot capacity, which can be reclaimed with a few seconds' notice. */
  readonly spot: boolean;
  /** Cost of one server per hour. */
  readonly costPerHour: number;
  /** Whether the servers reject an order with an old fencing token. */
  readonly checksFencing: boolean;
  /** Smallest number of servers to which the autoscaler may shrink the pool. */
  readonly minServers: number;
  /** Largest number of servers to which the autoscaler may grow the pool. */
  readonly maxServers: number;
  /** Limits for the servers while they are cold after a start. @default no limits */
  readonly coldStart?: coldStarts.ColdStartLimits;
}

/** A plain service, and which of its calls may be retried. */
export interface ServicePart {
  readonly kind: "service";
  readonly name: string;
  /** HTTP methods whose calls may be retried. */
  readonly repeatable: readonly string[];
}

/** One part of the configuration. */
export type ConfigPart =
  | ClassPart
  | CustomerPart
  | KeyPart
  | PoolPart
  | ServicePart;

/** Identifier of a part, unique within the configuration. */
export type ConfigPartId = `${ConfigPart["kind"]}/${string}`;

/** The configuration in force at one revision. */
export interface Configuration {
  readonly revision: number;
  /** Digest of the whole change log up to this revision. */
  readonly digest: string;
  readonly classes: ReadonlyMap<string, ClassPart>;
  readonly customers: ReadonlyMap<string, CustomerPart>;
  readonly keys: ReadonlyMap<string, KeyPart>;
  readonly pools: ReadonlyMap<string, PoolPart>;
  readonly services: ReadonlyMap<string, ServicePart>;
}

/** The configuration before the first publication. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  digest: "",
  classes: new Map(),
  customers: new Map(),
  keys: new Map(),
  pools: new Map(),
  services: new Map(),
};

/**
 * Returns the identifier of a part.
 *
 * @example
 * getPartId(part); // "class/counter"
 */
export function getPartId(part: ConfigPart): ConfigPartId {
  return `${part.kind}/${part.name}`;
}

/**
 * Lists all parts of a configuration, ordered by identifier.
 *
 * @example
 * listParts(EMPTY_CONFIGURATION); // []
 */
export function listParts(configuration: Configuration): ConfigPart[] {
  const parts: ConfigPart[] = [
    ...configuration.classes.values(),
    ...configuration.customers.values(),
    ...configuration.keys.values(),
    ...configuration.pools.values(),
    ...configuration.services.values(),
  ];
  return parts.toSorted((a, b) => getPartId(a) < getPartId(b) ? -1 : 1);
}
