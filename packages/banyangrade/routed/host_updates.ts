/** What a host takes over from the store and the other hosts, and what it tells them. */
import * as core from "@banyangrade/core";
import type * as routedParts from "./routed_parts.ts";

type Parts = routedParts.RoutedParts;

/**
 * What this host tells the others.
 *
 * @example
 * presence.describe = () => describeHost(parts);
 */
export function describeHost(
  { settings, incarnation, clock, clocks, counter, dispatch, marks }: Parts,
): core.HostStatus {
  marks.removeLapsed(clock.now());
  return {
    host: settings.host,
    incarnation,
    at: clocks.getTrueTime(),
    demand: dispatch.countByTarget(),
    running: dispatch.countByEngine(),
    prompting: dispatch.countPrompting(),
    usage: counter.list(),
    suspects: marks.list()
      .map(({ fingerprint, server }) => ({ fingerprint, server })),
  };
}

/**
 * Takes over the list of backend servers.
 *
 * @example
 * applyServers(parts, belief.listServers());
 */
export function applyServers(
  { belief, pools, dispatch, coldStarts, clock }: Parts,
  listed: readonly core.ListedServer[],
): void {
  const services = new Map(
    (belief.getTable()?.configuration.services ?? [])
      .map((one) => [one.name, one]),
  );
  coldStarts.setAll(listed.map(toColdWord), clock.now());
  const servers = listed.map((server) => {
    const name = getServerName(server);
    const service = services.get(server.service);
    const limit = pools.getLimit(name, service?.connectionLimit ?? 0);
    const startMs = service?.coldStart?.startMs ?? 0;
    const coldMs = coldStarts.getLeftMs(name, { startMs, now: clock.now() });
    const isEvacuated = belief.isEvacuated(server.failureDomain);
    return toServerInfo(server, { name, limit, isEvacuated, coldMs });
  });
  pools.keep(new Set(servers.map((server) => server.name)));
  dispatch.send({ kind: "servers_changed", servers });
}

/**
 * Takes over which failure domains are emptied. The servers of one that is used
 * again may have become cold since they last said that they are not.
 *
 * @example
 * applyEvacuations(parts, ["rosenheim"]);
 */
export function applyEvacuations(
  parts: Parts,
  changed: readonly string[],
): void {
  const { belief, coldStarts, clock } = parts;
  changed.filter((failureDomain) => !belief.isEvacuated(failureDomain))
    .forEach((one) => coldStarts.recordReturn(one, clock.now()));
  applyServers(parts, belief.listServers());
}

/**
 * Takes over what is known of all other hosts.
 *
 * @example
 * applyOthers(parts, summary);
 */
export function applyOthers(
  { budget, clock, clocks, dispatch, log, pools }: Parts,
  others: core.HostsSummary,
): void {
  budget.setHosts(others.hosts + 1);
  pools.setHosts(others.hosts + 1);
  Object.entries(others.divisions?.byService ?? {}).forEach(
    ([service, division]) => dispatch.setDivision(service, division),
  );
  dispatch.send({
    kind: "load_shared",
    running: others.running,
    prompting: others.prompting,
    hosts: others.hosts + 1,
    asOf: clock.now(),
  });
  if (others.suspects.length > 0) {
    dispatch.send({ kind: "suspected", marks: others.suspects });
  }
  const movedMs = clocks.updateTrueTime({ others: others.times });
  if (movedMs !== 0) {
    log.warn({ movedMs, hosts: others.times.length }, "clock: Time moved.");
  }
}

/** A server that started again under its identifier is another one: it knows nothing of the first. */
function getServerName(listed: core.ListedServer): string {
  return `${listed.id}@${listed.bornAt}`;
}

function toServerInfo(
  listed: core.ListedServer,
  { name, limit, isEvacuated, coldMs }: {
    readonly name: string;
    readonly limit: number;
    readonly isEvacuated: boolean;
    readonly coldMs: number;
  },
): core.ServerInfo {
  return {
    name,
    instance: listed.id,
    pool: listed.service,
    url: `http://${listed.address}`,
    state: listed.state === "ready" && !isEvacuated ? "live" : "leaving",
    slots: listed.slots,
    ownLimit: limit,
    failureDomain: listed.failureDomain,
    coldMs,
  };
}

function toColdWord(listed: core.ListedServer): core.ColdWord {
  return {
    name: getServerName(listed),
    failureDomain: listed.failureDomain,
    coldMs: listed.coldMs,
    revision: listed.revision,
  };
}
