/** Test helpers that run the relay, the cluster state and the statuses of many hosts in one process, on a store in memory. */
import type * as tap from "tap";
import * as store from "@banyangrade/store";
import * as kvState from "@banyangrade/store/kv_state.ts";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as testing from "@banyangrade/utils/testing.ts";
import * as gatewayParts from "./gateway/gateway_parts.ts";
import * as unexpectedErrors from "./unexpected_errors.ts";
import * as sharedKnowledge from "./gateway/shared_knowledge.ts";
import type * as platformInterface from "./gateway/platform_interface.ts";

/** Failure domain of all hosts. */
const FAILURE_DOMAIN = "rosenheim";
/** Interval at which leases expire, in ms. */
const EXPIRY_MS = 50;

/** A call that reached the store. */
export interface RecordedCall {
  readonly host: string;
  readonly call: string;
  /** Monotonic time of the call, in ms. */
  readonly at: number;
}

/** Key-value store in memory, which can reject the calls of some hosts. */
export class MemoryStore {
  readonly calls: RecordedCall[] = [];
  /** Hosts whose calls are rejected, as by an overloaded store with status 503. */
  readonly rejected = new Set<string>();
  readonly #log: { readonly key: string; readonly change: store.Change }[] = [];
  readonly #waiting = new Set<() => void>();
  readonly #kv = new kvState.KvState((change) => {
    const { key } = change.pair;
    this.#log.push({
      key,
      change: change.kind === "put"
        ? { kind: "put", entry: change.pair }
        : { kind: "deleted", key, modRevision: this.#kv.revision },
    });
    this.#waiting.forEach((wake) => wake());
  });
  readonly #expiry = setInterval(() => this.#kv.expire(Date.now()), EXPIRY_MS);

  put(key: string, value: string): void {
    this.#kv.put(key, { value });
  }

  close(): void {
    clearInterval(this.#expiry);
    this.#waiting.forEach((wake) => wake());
  }

  /** Returns the host that holds the role of relay; undefined if it is free. */
  getRelay(): string | undefined {
    const pair = this.#kv.get(store.getRoleKey(`relay/${FAILURE_DOMAIN}`));
    return pair && (utils.parseJson(pair.value) as store.RoleRecord).host;
  }

  /** Counts the calls of hosts within a span of monotonic time. */
  countCalls(
    { from, until = Infinity }: {
      readonly from: number;
      readonly until?: number;
    },
  ): Record<string, number> {
    const counts: Record<string, number> = { all: 0 };
    this.calls.filter(({ at }) => at >= from && at < until)
      .forEach(({ call }) => {
        counts.all += 1;
        counts[call] = (counts[call] ?? 0) + 1;
      });
    return counts;
  }

  /** Creates the client of one host. */
  createClient(host: string): store.KeyValueClient & store.FeedClient {
    const run = async <Answer>(
      call: string,
      answer: () => Answer | Promise<Answer>,
    ): Promise<utils.Result<Answer, utils.StepError>> => {
      this.calls.push({ host, call, at: utils.SYSTEM_CLOCK.now() });
      await utils.waitFor(1);
      if (!this.rejected.has(host)) return utils.Ok(await answer());
      return utils.Err(utils.createStepError("rejected", {
        step: `store.${call}`,
        peer: "store",
        message: "The store answered with status 503.",
      }));
    };
    const list = (prefix: string) => this.#kv.list(prefix, `${prefix}\uffff`);
    return {
      get: (key) => run("get", () => this.#kv.get(key)),
      list: (prefix, options) =>
        run("list", () => [...store.takeAll(list(prefix), options)]),
      readAll: (prefix, options) =>
        run("list", () => ({
          entries: store.takeAll(list(prefix), options),
          revision: this.#kv.revision,
        })),
      pollChanges: (prefix, options) =>
        run("poll", () => this.#poll(prefix, options)),
      swap: (swap) => run("swap", () => this.#swap(swap)),
      grantLease: (seconds) =>
        run("grant", () => this.#kv.grantLease(seconds * 1_000, Date.now())),
      renewLease: (id) =>
        run("renew", () => this.#kv.renewLease(id, Date.now()) > 0),
      revokeLease: (id) => run("revoke", () => void this.#kv.revokeLease(id)),
      close: () => Promise.resolve(),
    };
  }

  #swap(swap: store.Swap): store.SwapOutcome {
    const isLeaseValid = swap.lease === undefined ||
      this.#kv.hasLease(swap.lease);
    if (!this.#kv.isAt(swap.key, swap.expected) || !isLeaseValid) {
      return { kind: "lost", current: this.#kv.get(swap.key) };
    }
    if (swap.value === undefined) this.#kv.remove(swap.key);
    else this.#kv.put(swap.key, { value: swap.value, lease: swap.lease });
    return { kind: "won", modRevision: this.#kv.revision };
  }

  async #poll(
    prefix: string,
    { after, waitMs, take }: store.PollOptions,
  ): Promise<store.Changes> {
    const list = () =>
      this.#log.flatMap(({ key, change }) => {
        const revision = change.kind === "put"
          ? change.entry.modRevision
          : change.modRevision;
        return key.startsWith(prefix) && revision > after ? [change] : [];
      });
    const until = Date.now() + waitMs;
    while (list().length === 0 && Date.now() < until) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - Date.now());
        this.#waiting.add(wake);
      });
    }
    const changes = store.takeAllChanges(list(), { take });
    return { changes, revision: this.#kv.revision };
  }
}

/** A host of {@link startRelayHosts}. */
export interface RelayTestHost {
  readonly name: string;
  readonly parts: gatewayParts.GatewayParts;
}

/** Options of {@link startRelayHosts}. */
export interface RelayHostsOptions {
  readonly memory: MemoryStore;
  /** Rate of the link of each host by name, in Mbit/s; undefined for no limit. */
  readonly links: Readonly<Record<string, number | undefined>>;
}

/**
 * Starts hosts of one failure domain at the same time, without their servers for
 * callers, and closes them at the end of the test.
 *
 * @example
 * const hosts = await startRelayHosts(t, { memory, links: { a: 200, b: 10 } });
 */
export async function startRelayHosts(
  t: tap.Test,
  { memory, links }: RelayHostsOptions,
): Promise<RelayTestHost[]> {
  const hosts = await Promise.all(
    Object.entries(links).map(async ([name, linkMbps]) => ({
      name,
      parts: gatewayParts.buildGatewayParts({
        settings: buildSettings(name, {
          linkMbps,
          peerAddress: `127.0.0.1:${await testing.findFreePort()}`,
        }),
        platform: buildPlatform(memory.createClient(name)),
        log: utils.createLogger({ level: "silent" }),
        clock: utils.SYSTEM_CLOCK,
      }),
    })),
  );
  t.teardown(async () => {
    await Promise.all(hosts.map(async ({ parts }) => {
      parts.belief.stop();
      await Promise.all([parts.relay.stop(), parts.presence.stop()]);
      parts.dispatch.stop();
      await Promise.all([parts.relay.close(), parts.pools.close()]);
    }));
    memory.close();
  });
  await Promise.all(hosts.map(async ({ parts }) => {
    await parts.relay.start();
    parts.belief.start();
    unexpectedErrors.runReported(parts, {
      step: "presence.recall",
      work: () => sharedKnowledge.fetchShared(parts),
    });
    parts.presence.start();
  }));
  return hosts;
}

function buildSettings(
  host: string,
  changes: Pick<
    platformInterface.GatewaySettings,
    "linkMbps" | "peerAddress"
  >,
): platformInterface.GatewaySettings {
  return {
    host,
    failureDomain: FAILURE_DOMAIN,
    failureDomains: [FAILURE_DOMAIN],
    regions: new Map(),
    callerAddress: "",
    readinessAddress: "",
    metricsAddress: undefined,
    retries: { ratio: 0.2, slack: 100, windowMs: 10_000 },
    withdrawMs: 5_000,
    coldBound: undefined,
    leaveMs: 3_000,
    leaseMs: 3_000,
    usageWindowMs: 5_000,
    usageDueMs: 10_000,
    graceMs: 4_000,
    roles: [],
    heldBytesLimit: undefined,
    clients: core.computeClientLimits({}),
    slowReaders: false,
    ...changes,
  };
}

/** Builds a platform of which only the store is used. */
function buildPlatform(
  client: platformInterface.Platform["store"],
): platformInterface.Platform {
  return {
    store: client,
    operatorPrefix: "operators/",
    configurationKey: "operators/configuration",
    evacuationPrefix: "operators/evacuations/",
    serversPrefix: "servers/",
  } as platformInterface.Platform;
}

/**
 * Waits until a condition is true; only the test's timeout ends the wait otherwise.
 *
 * @example
 * await waitUntil(() => memory.getRelay() !== undefined);
 */
export async function waitUntil(checkCondition: () => boolean): Promise<void> {
  while (!checkCondition()) await utils.waitFor(10);
}

/** Number of followers of the relay that {@link startFollowers} starts. */
export const FOLLOWERS = 27;

/**
 * Starts a relay with its followers and waits until the statuses of all have been
 * published.
 *
 * @example
 * const { memory, hosts, relay } = await startFollowers(t);
 */
export async function startFollowers(t: tap.Test) {
  const memory = new MemoryStore();
  const names = Array.from(
    { length: FOLLOWERS + 1 },
    (_, index) => `h${index}`,
  );
  const hosts = await startRelayHosts(t, {
    memory,
    links: Object.fromEntries(names.map((name) => [name, undefined])),
  });
  const isFollowing = ({ parts }: RelayTestHost) =>
    parts.relay.isRelay() || parts.relay.getFollowed() !== undefined;
  await waitUntil(() => hosts.every(isFollowing));
  await utils.waitFor(3_000);
  const relay = hosts.find(({ parts }) => parts.relay.isRelay());
  if (relay === undefined) throw new Error("No host is the relay.");
  return { memory, hosts, relay, now: utils.SYSTEM_CLOCK.now() };
}

/**
 * Lists the relays that hosts follow; a host without one counts as "none".
 *
 * @example
 * listFollowed(hosts); // ["h3"]
 */
export function listFollowed(hosts: readonly RelayTestHost[]): string[] {
  const followed = hosts.filter(({ parts }) => !parts.relay.isRelay())
    .map(({ parts }) => parts.relay.getFollowed()?.host ?? "none");
  return [...new Set(followed)];
}
