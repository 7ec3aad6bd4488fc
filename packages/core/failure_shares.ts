/**
 * Finds servers that fail a part of their requests, from the attempts of all hosts.
 *
 * Guards against a server that fails nearly half of its requests while its health
 * check is good: a host sends it a request every fifteen seconds, so no host sees
 * enough consecutive failures to eject it.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** Time in which the weight of an attempt halves, in ms. */
const HALF_LIFE_MS = 2_000;
/** Age from which a server without attempts is no longer reported, in ms. */
const REPORT_MS = 4_000;
/** Maximum number of servers in a status. */
const MAX_SERVERS = 32;
/** Upper bound of a reported count of one host, so that an implausible one does not outweigh all others. */
const MAX_HOST_COUNT = 500;
/** Failures at a server that count for each host, so that a single host that cannot reach it does not exceed the bound below. */
const MAX_COUNTED = 2;
/** Upper bound of a reported sum over hosts. */
const MAX_SUM = 1_000_000;
/** Failures, and share of a server's attempts that fail, above which it is limited. */
const LIMIT_ABOVE = { failed: 3, share: 0.3 } as const;
/** Values below which a limited server is no longer limited: it gets fewer requests, so it fails fewer. */
const RELEASE_BELOW = { failed: 1.5, share: 0.15 } as const;
/** Number of hosts that must have seen a server fail: one host alone may be unable to reach it. */
const MIN_HOSTS = 2;
/** Share of a service's attempts that fail from which on its servers fail alike and none is limited. */
const MAX_SERVICE_SHARE = 0.15;
/** Smallest share of its requests that a limited server gets, so that hosts notice when it recovers. */
const MIN_SUCCESS = 1 / 20;

/** Number of ended and of failed attempts. */
export type OutcomeCount = readonly [ended: number, failed: number];

/** Outcomes of the recent attempts of one host, for its status. */
export interface HostOutcomes {
  /** Only servers with failed attempts. */
  readonly servers: Readonly<Record<string, OutcomeCount>>;
  /** Attempts at all servers of each service. */
  readonly services: Readonly<Record<string, OutcomeCount>>;
}

/** Outcomes of the recent attempts of several hosts. */
export interface SharedOutcomes {
  readonly servers: Readonly<
    Record<
      string,
      {
        readonly ended: number;
        readonly failed: number;
        /** Number of hosts that saw a failure. */
        readonly hosts: number;
        /** Sum of the failures that count for each host; absent in the statuses of earlier versions. */
        readonly counted?: number;
      }
    >
  >;
  readonly services: Readonly<Record<string, OutcomeCount>>;
}

/** A server and its service. */
export interface ServiceServer {
  readonly name: string;
  readonly service: string;
  /** Part of its service's requests that it gets relative to the mean; 0 while this host has ejected it. @default 1 */
  readonly weight?: number;
}

/**
 * Whether a failed attempt counts against its server; undefined if it says
 * nothing about the server.
 *
 * @example
 * isServerFailure("server_error"); // true
 */
export function isServerFailure(
  failure: events.AttemptFailure,
): true | undefined {
  switch (failure) {
    case "not_sent":
    case "connection_lost":
    case "server_error":
    case "timeout":
    case "crossed":
      return true;
    case "withheld":
    case "refused":
    case "misdirected":
    case "unread":
      return undefined;
  }
}

/**
 * Adds the outcomes of one host to those of others. Counts that are not plausible
 * are dropped.
 *
 * @example
 * const shared = sumOutcomes([status.outcomes]);
 */
export function sumOutcomes(hosts: readonly HostOutcomes[]): SharedOutcomes {
  return mergeOutcomes(hosts.map(({ servers, services }) => ({
    servers: Object.fromEntries(
      listPlausible(servers).slice(0, MAX_SERVERS)
        .map(([name, [ended, failed]]) => {
          const counted = Math.min(failed, MAX_COUNTED);
          return [name, { ended, failed, hosts: 1, counted }];
        }),
    ),
    services: Object.fromEntries(listPlausible(services)),
  })));
}

/**
 * Adds the outcomes of several groups of hosts.
 *
 * @example
 * const all = mergeOutcomes([own, received]);
 */
export function mergeOutcomes(
  groups: readonly SharedOutcomes[],
): SharedOutcomes {
  const servers = new Map<string, SharedOutcomes["servers"][string]>();
  const services = new Map<string, OutcomeCount>();
  groups.forEach((group) => {
    Object.entries(group.servers ?? {}).forEach(([name, one]) => {
      const isValid = isPlausible([one?.ended, one?.failed], MAX_SUM) &&
        one.hosts >= 1;
      if (!isValid) return;
      const known = servers.get(name) ??
        { ended: 0, failed: 0, hosts: 0, counted: 0 };
      servers.set(name, {
        ended: known.ended + one.ended,
        failed: known.failed + one.failed,
        hosts: known.hosts + one.hosts,
        counted: getCounted(known) + getCounted(one),
      });
    });
    Object.entries(group.services ?? {}).forEach(([name, count]) => {
      if (!isPlausible(count, MAX_SUM)) return;
      const [ended, failed] = services.get(name) ?? [0, 0];
      services.set(name, [ended + count[0], failed + count[1]]);
    });
  });
  return {
    servers: Object.fromEntries(servers),
    services: Object.fromEntries(services),
  };
}

/** Returns the failures at a server that count, at most {@link MAX_COUNTED} for each host. */
function getCounted(
  { failed, hosts, counted = failed }: SharedOutcomes["servers"][string],
): number {
  const most = Math.min(failed, hosts * MAX_COUNTED);
  return counted >= 0 ? Math.min(counted, most) : most;
}

function listPlausible(
  counts: Readonly<Record<string, OutcomeCount>> | undefined,
): [string, OutcomeCount][] {
  return Object.entries(counts ?? {})
    .filter(([, count]) => isPlausible(count, MAX_HOST_COUNT));
}

function isPlausible(count: OutcomeCount, max: number): boolean {
  if (!Array.isArray(count)) return false;
  const [ended, failed] = count;
  return Number.isFinite(ended) && ended >= 0 && ended <= max &&
    Number.isFinite(failed) && failed >= 0 && failed <= ended;
}

/** A count that decays. */
interface DecayingCount {
  ended: number;
  failed: number;
  at: number;
}

/** Outcomes of this host's attempts, and the servers that fail over all hosts. */
export class FailureShares {
  readonly #servers = new Map<string, DecayingCount>();
  readonly #services = new Map<string, DecayingCount>();
  /** Success shares of the limited servers. */
  #limited: ReadonlyMap<string, number> = new Map();
  #updatedAt = Number.NEGATIVE_INFINITY;

  /** Records the end of an attempt. */
  record(
    { name, service, failed }: ServiceServer & { readonly failed: boolean },
    now: number,
  ): void {
    addOutcome(this.#servers, { key: name, failed, now });
    addOutcome(this.#services, { key: service, failed, now });
  }

  /** Forgets this host's outcomes at a service and its servers. */
  forget(service: string, servers: readonly string[]): void {
    this.#services.delete(service);
    servers.forEach((server) => this.#servers.delete(server));
  }

  /** Lists the recent outcomes of this host, to share with other hosts. */
  list(now: number): HostOutcomes {
    const failing = listCounts(this.#servers, now)
      .filter(([, [, failed]]) => failed > 0)
      .toSorted(([, a], [, b]) => b[1] - a[1]);
    return {
      servers: Object.fromEntries(failing.slice(0, MAX_SERVERS)),
      services: Object.fromEntries(listCounts(this.#services, now)),
    };
  }

  /** Updates the limited servers from the outcomes of all other hosts. `servers` are all live ones. */
  update(
    others: SharedOutcomes,
    { servers, now }: {
      readonly servers: readonly ServiceServer[];
      readonly now: number;
    },
  ): void {
    const all = mergeOutcomes([others, sumOutcomes([this.list(now)])]);
    const failing = servers.filter(({ name, weight }) =>
      all.servers[name] && weight !== 0
    );
    const limited = failing.flatMap((server): [string, number][] => {
      const peers = servers.filter(({ service }) => service === server.service);
      const success = this.#measureSuccess(server, {
        all,
        share: computeShare(server, peers),
      });
      return success === undefined ? [] : [[server.name, success]];
    });
    this.#limited = new Map(limited);
    this.#updatedAt = now;
  }

  /** Measures the success share of a server; undefined if it is not limited. */
  #measureSuccess(
    { name, service }: ServiceServer,
    { all, share: expectedShare }: {
      readonly all: SharedOutcomes;
      /** Expected share of its service's requests. */
      readonly share: number;
    },
  ): number | undefined {
    const known = all.servers[name];
    const [ended, failed] = all.services[service] ?? [0, 0];
    if (known === undefined || known.hosts < MIN_HOSTS) return undefined;
    if (failed >= MAX_SERVICE_SHARE * ended) return undefined;
    // Hosts report only the servers at which they saw a failure, so the other
    // attempts at the server are estimated from those of its service. All hosts
    // have sent a limited server about the same share of its requests.
    const before = this.#limited.get(name);
    const expected = ended * expectedShare * (before ?? 1);
    const share = known.failed / Math.max(known.ended, expected);
    const bound = before === undefined ? LIMIT_ABOVE : RELEASE_BELOW;
    const isLimited = getCounted(known) > bound.failed && share > bound.share;
    return isLimited ? Math.max(MIN_SUCCESS, 1 - share) : undefined;
  }

  /** Lists the success shares of the limited servers; empty without recent outcomes of other hosts. */
  listLimited(now: number): ReadonlyMap<string, number> {
    const isRecent = now - this.#updatedAt < constants.GRANT_VALID_MS;
    return isRecent ? this.#limited : new Map();
  }
}

/** Computes the share of its service's requests that a server gets. */
function computeShare(
  { weight = 1 }: ServiceServer,
  peers: readonly ServiceServer[],
): number {
  const sum = peers.reduce((total, peer) => total + (peer.weight ?? 1), 0);
  return sum > 0 ? weight / sum : 0;
}

function addOutcome(
  counts: Map<string, DecayingCount>,
  { key, failed, now }: {
    readonly key: string;
    readonly failed: boolean;
    readonly now: number;
  },
): void {
  const known = counts.get(key) ?? { ended: 0, failed: 0, at: now };
  const weight = computeWeight(now - known.at);
  counts.set(key, {
    ended: known.ended * weight + 1,
    failed: known.failed * weight + (failed ? 1 : 0),
    at: now,
  });
}

/** Lists the counts with their current weights, and deletes the old ones. */
function listCounts(
  counts: Map<string, DecayingCount>,
  now: number,
): [string, OutcomeCount][] {
  [...counts].filter(([, { at }]) => now - at > REPORT_MS)
    .forEach(([key]) => counts.delete(key));
  return [...counts].map(([key, { ended, failed, at }]) => {
    const weight = computeWeight(now - at);
    return [key, [
      computeRounded(ended * weight),
      computeRounded(failed * weight),
    ]];
  });
}

function computeWeight(ageMs: number): number {
  return 0.5 ** (ageMs / HALF_LIFE_MS);
}

/** Rounds a count to two decimals, which keeps statuses short. */
function computeRounded(count: number): number {
  return Math.round(100 * count) / 100;
}
