/**
 * Chooses one sender for each brittle server: the host that runs the requests of
 * all hosts there. The relay of a failure domain chooses among its followers for
 * the servers of its domain, and for those of domains without a relay. It keeps the
 * senders that its followers report, so that a new relay changes none.
 *
 * Guards against hosts that together run more requests at a brittle server than it
 * has slots, because there are more hosts than slots.
 */
import * as utils from "@banyangrade/utils";
import type * as hostStatuses from "./host_statuses.ts";

/** Time for which a relay that was not heard of still chooses the senders of its domain, in ms: an election and two status intervals. */
const RELAY_VALID_MS = 5_000;
/** Time after which a new relay has heard of its followers, in ms: a status interval. */
const TOLD_MS = 1_500;
/** Maximum number of senders of a service that a host receives, apart from its own servers. */
const MAX_OTHER_SENDERS = 8;

/** A brittle server that needs a sender. */
export interface BrittleServerInfo {
  readonly server: string;
  readonly service: string;
  /** Undefined if it is not known; then any relay may choose its sender. */
  readonly failureDomain?: string;
}

/** A host that may be a sender. */
export interface SenderCandidate {
  readonly contact: hostStatuses.HostContact;
  /** Requests that it can start at once at the servers whose sender it is, less those that wait there, by service. */
  readonly room: Readonly<Record<string, number>>;
  /** Servers whose sender it is. */
  readonly servers: readonly string[];
  /** Services to whose servers it has lost its links; absent from hosts of earlier versions. */
  readonly lost?: readonly string[];
}

/** The sender of a brittle server. */
export interface SenderAssignment {
  readonly server: string;
  readonly service: string;
  readonly sender: hostStatuses.HostContact;
  /** Requests of the service that the sender can start at once, less those that wait there. */
  readonly room: number;
}

/** Failure domains whose relays choose senders. */
export interface RelayDomains {
  readonly own: string;
  /** When another relay was last heard of, by failure domain, monotonic ms. */
  readonly heardAt: ReadonlyMap<string, number>;
  /** Since when this host has held the lease of the relay, monotonic ms; undefined if it does not. */
  readonly since: number | undefined;
  readonly now: number;
}

/** Chooses senders at one relay. */
export class SenderChooser {
  readonly #own: string;
  readonly #heardAt = new Map<string, number>();
  #since: number | undefined;

  constructor(options: { readonly failureDomain: string }) {
    this.#own = options.failureDomain;
  }

  /** Records that relays of these failure domains choose senders. */
  recordRelays(domains: readonly string[], now: number): void {
    domains.forEach((domain) => this.#heardAt.set(domain, now));
  }

  /** Chooses the senders among the relay's followers. */
  choose(
    servers: readonly BrittleServerInfo[],
    { candidates, holdsLease, now }: {
      readonly candidates: readonly SenderCandidate[];
      /** Whether it holds the lease; while the store is down, a relay goes on without it. */
      readonly holdsLease: boolean;
      readonly now: number;
    },
  ): SenderAssignment[] {
    this.#since = holdsLease ? this.#since ?? now : undefined;
    // A relay that has just started does not know of its followers' servers yet.
    const isTold = this.#since === undefined || now - this.#since >= TOLD_MS;
    if (servers.length === 0 || !isTold) return [];
    const own = listOwnServers(servers, {
      own: this.#own,
      heardAt: this.#heardAt,
      since: this.#since,
      now,
    });
    return chooseSenders(own, candidates);
  }
}

/**
 * Lists the servers whose senders the relay of a failure domain chooses.
 *
 * @example
 * listOwnServers(servers, { own: "rosenheim", heardAt, since, now });
 */
export function listOwnServers(
  servers: readonly BrittleServerInfo[],
  { own, heardAt, since, now }: RelayDomains,
): BrittleServerInfo[] {
  const mayReplace = since !== undefined && now - since > RELAY_VALID_MS;
  const others = [...heardAt].filter(([, at]) => now - at <= RELAY_VALID_MS)
    .map(([domain]) => domain);
  const live = [...new Set([own, ...others])];
  return servers.filter(({ server, failureDomain }) => {
    if (failureDomain === own) return true;
    // A relay that has just started has not heard of the others yet, and one without
    // the lease does not ask them.
    return mayReplace && !live.includes(failureDomain ?? "") &&
      rankFirst(live, server) === own;
  });
}

/**
 * Chooses a sender for each server: the one that it has, unless that one has more
 * servers than needed, or else one of those with the fewest.
 *
 * @example
 * const senders = chooseSenders(listOwnServers(servers, domains), candidates);
 */
export function chooseSenders(
  servers: readonly BrittleServerInfo[],
  candidates: readonly SenderCandidate[],
): SenderAssignment[] {
  if (candidates.length === 0) return [];
  const most = Math.ceil(servers.length / candidates.length);
  const counts = new Map(candidates.map((one) => [one, 0]));
  const chosen = new Map<string, SenderCandidate>();
  const choose = (
    { server, service }: BrittleServerInfo,
    wanted: readonly SenderCandidate[],
  ) => {
    const among = wanted.filter(({ lost = [] }) => !lost.includes(service));
    if (among.length === 0) return;
    const first = rankFirst(among.map(({ contact }) => contact.host), server);
    const one = among.find(({ contact }) => contact.host === first) ?? among[0];
    counts.set(one, (counts.get(one) ?? 0) + 1);
    chosen.set(server, one);
  };
  const sorted = servers.toSorted((a, b) => a.server < b.server ? -1 : 1);
  sorted.forEach((needed) =>
    choose(
      needed,
      candidates.filter((one) =>
        one.servers.includes(needed.server) && (counts.get(one) ?? 0) < most
      ),
    )
  );
  sorted.filter(({ server }) => !chosen.has(server)).forEach((needed) => {
    const able = candidates.filter(({ lost = [] }) =>
      !lost.includes(needed.service)
    );
    const fewest = Math.min(...able.map((one) => counts.get(one) ?? 0));
    choose(
      needed,
      able.filter((one) => counts.get(one) === fewest),
    );
  });
  return sorted.flatMap(({ server, service }) => {
    const one = chosen.get(server);
    if (one === undefined) return [];
    const { contact: sender, room } = one;
    return [{ server, service, sender, room: room[service] ?? 0 }];
  });
}

/**
 * Merges the choices of several relays. If two name a sender for one server, all
 * hosts keep the same one.
 *
 * @example
 * mergeSenders([own, received]);
 */
export function mergeSenders(
  choices: readonly (readonly SenderAssignment[])[],
): SenderAssignment[] {
  const merged = new Map<string, SenderAssignment>();
  choices.flat().forEach((one) => {
    const known = merged.get(one.server);
    const hosts = [one, known].flatMap((each) => each?.sender.host ?? []);
    const isFirst = known === undefined ||
      rankFirst(hosts, one.server) === one.sender.host;
    if (isFirst) merged.set(one.server, one);
  });
  return [...merged.values()];
}

/**
 * Chooses what a host receives: the servers whose sender it is, and some senders to
 * which it may hand requests, the same ones each time. At least one of each service
 * is named, so that the host knows that the service has senders.
 *
 * @example
 * const senders = chooseSendersFor("host-1", all);
 */
export function chooseSendersFor(
  host: string,
  senders: readonly SenderAssignment[],
): SenderAssignment[] {
  const own = senders.filter(({ sender }) => sender.host === host);
  const others = senders.filter(({ sender }) => sender.host !== host)
    .map((one) => ({ one, rank: utils.hashSeed(`${host}/${one.sender.host}`) }))
    .toSorted((a, b) => a.rank - b.rank);
  const counts = new Map<string, number>();
  const told = others.filter(({ one: { service } }) => {
    const count = counts.get(service) ?? 0;
    counts.set(service, count + 1);
    return count < MAX_OTHER_SENDERS;
  });
  return [...own, ...told.map(({ one }) => one)];
}

/** Returns the name that ranks first for a server, the same at all hosts. */
function rankFirst(names: readonly string[], server: string): string {
  return names.map((name) => ({
    name,
    rank: utils.hashSeed(`${server}/${name}`),
  })).reduce((best, one) =>
    one.rank < best.rank || (one.rank === best.rank && one.name < best.name)
      ? one
      : best
  ).name;
}
