/** Applies updates from the store and the other hosts, and describes this host to them. */
import * as core from "@banyangrade/core";
import type * as gatewayParts from "./gateway_parts.ts";

type Parts = gatewayParts.GatewayParts;

/**
 * Describes the status of this host for the other hosts.
 *
 * @example
 * presence.describe = () => describeHost(parts);
 */
export function describeHost(
  parts: Parts,
): core.HostStatus {
  const { settings, incarnation, clock, clocks, counter, dispatch } = parts;
  const contact = parts.handover.getContact();
  const offsetMs = clocks.getTrueTime() - clock.now();
  const answered = dispatch.listAnsweredParts();
  return {
    host: settings.host,
    incarnation,
    at: clocks.getTrueTime(),
    demand: dispatch.countByTarget(),
    running: dispatch.countByEngine(),
    prompting: dispatch.countPendingPrefill(),
    outcomes: dispatch.listOutcomes(),
    usage: counter.list(),
    ...describeSuspects(parts, offsetMs),
    limits: applyOffset(dispatch.listLimits(), offsetMs),
    ...(Object.keys(answered).length > 0 && {
      answeredParts: applyOffsetToTimes(answered, offsetMs),
    }),
    paces: dispatch.listPaces(),
    ...describeBrittle(parts, offsetMs),
    ...(contact && { contact }),
  };
}

/** Describes the requests that were in flight at lost servers: recent ones, and those that are refused. */
function describeSuspects(
  { clock, dispatch, marks }: Parts,
  offsetMs: number,
): Pick<core.HostStatus, "suspects" | "wrongLosses" | "answeredRequests"> {
  marks.removeExpired(clock.now());
  const recent = marks.list().map(({ until: _until, ...mark }) => mark);
  const suspects = [...dispatch.listPoisonMarks(), ...recent].map((mark) =>
    dispatch.isDoubted(mark.server) ? { ...mark, doubtful: true } : mark
  );
  const wrongLosses = dispatch.listWrongLosses();
  const answered = dispatch.listAnsweredRequests();
  return {
    suspects: applyOffset(suspects, offsetMs),
    ...(Object.keys(wrongLosses).length > 0 && {
      wrongLosses: applyOffsetToTimes(wrongLosses, offsetMs),
    }),
    ...(Object.keys(answered).length > 0 && {
      answeredRequests: applyOffsetToTimes(answered, offsetMs),
    }),
  };
}

/**
 * Lists marks of suspects for hosts that know none, with Unix times.
 *
 * @example
 * presence.listKnown = () => listKnownSuspects(parts);
 */
export function listKnownSuspects(
  { clock, clocks, dispatch }: Parts,
): core.SuspectMark[] {
  const offsetMs = clocks.getTrueTime() - clock.now();
  const marks = dispatch.listKnownMarks().map((mark) =>
    dispatch.isDoubted(mark.server) ? { ...mark, doubtful: true } : mark
  );
  return applyOffset(marks, offsetMs);
}

/**
 * Applies what other hosts published of suspects: the marks with all that clears
 * them, in Unix times.
 *
 * @example
 * applyEvidence(parts, core.mergeEvidence(published));
 */
export function applyEvidence(
  { clock, clocks, dispatch }: Pick<Parts, "clock" | "clocks" | "dispatch">,
  evidence: core.SuspectEvidence,
): void {
  if (core.isEmptyEvidence(evidence)) return;
  const offsetMs = clock.now() - clocks.getTrueTime();
  dispatch.send({
    kind: "suspected",
    marks: applyOffset(core.mergeMarks(evidence.marks), offsetMs),
    wrongLosses: applyOffsetToTimes(evidence.wrongLosses, offsetMs),
    answered: applyOffsetToTimes(evidence.answered, offsetMs),
    answeredParts: applyOffsetToTimes(evidence.answeredParts, offsetMs),
  });
}

/** Describes what this host knows of brittle servers, and whether it may be the sender of some. */
function describeBrittle(
  { dispatch, handover }: Parts,
  offsetMs: number,
): Pick<core.HostStatus, "brittle" | "sender"> {
  const brittle = applyOffset(dispatch.listBrittleRecords(), offsetMs);
  const lost = dispatch.listLostLinks();
  const sender = { ...dispatch.describeSender(), lost };
  return {
    ...(brittle.length > 0 && { brittle }),
    ...(handover.mayTakeRequests() && { sender }),
  };
}

/** Converts the times of records between the monotonic clock and the time of day; some have none. */
function applyOffset<Record extends { readonly at?: number }>(
  records: readonly Record[],
  offsetMs: number,
): Record[] {
  return records.map((record) =>
    record.at === undefined ? record : { ...record, at: record.at + offsetMs }
  );
}

function applyOffsetToTimes(
  times: Readonly<Record<string, number>>,
  offsetMs: number,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(times).map(([name, at]) => [name, at + offsetMs]),
  );
}

/**
 * Applies a new list of backend servers.
 *
 * @example
 * applyServers(parts, belief.listServers());
 */
export function applyServers(
  { belief, pools, dispatch, coldStarts, clock, clocks, ...parts }: Parts,
  listed: readonly core.ListedServer[],
): void {
  const services = new Map(
    (belief.getTable()?.configuration.services ?? [])
      .map((one) => [one.name, one]),
  );
  coldStarts.setAll(listed.map(toColdReport), clock.now());
  parts.versions.record(listed, clocks.lease.now());
  parts.streamOrigins.recordVersions([...services.keys()]);
  const software = core.resolveSoftware(listed);
  const servers = listed.map((server, index) => {
    const name = getServerName(server);
    const service = services.get(server.service);
    const limit = pools.getLimit(name, service?.connectionLimit ?? 0);
    const startMs = service?.coldStart?.startMs ?? 0;
    const coldMs = coldStarts.getRemainingMs(name, {
      startMs,
      now: clock.now(),
    });
    const isEvacuated = belief.isEvacuated(server.failureDomain);
    return toServerInfo(server, {
      name,
      limit,
      isEvacuated,
      coldMs,
      software: software[index],
    });
  });
  pools.closeUnlisted(new Set(servers.map((server) => server.name)));
  dispatch.send({ kind: "servers_changed", servers });
}

/**
 * Applies changes of the evacuated failure domains. When an evacuation ends, the
 * servers of the failure domain may have become cold since they last reported.
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
 * Applies the summary of all other hosts.
 *
 * @example
 * applyHostsSummary(parts, summary);
 */
export function applyHostsSummary(
  { budget, clock, clocks, dispatch, handover, log, pools }: Parts,
  others: core.HostsSummary,
): void {
  // A host that has just started would take marks at its own wrong time of day for others.
  const movedMs = clocks.updateTrueTime({ others: others.times });
  if (movedMs !== 0) {
    log.warn(
      { movedMs, hosts: others.times.length },
      "clock: Time of day corrected by the times of the other hosts.",
    );
  }
  const offsetMs = clock.now() - clocks.getTrueTime();
  budget.setHosts(others.hosts + 1);
  pools.setHosts(others.hosts + 1);
  handover.recordContacts(others.contacts ?? []);
  handover.recordContacts((others.senders ?? []).map(({ sender }) => sender));
  const sentToBefore = dispatch.listSentTo().toSorted().join();
  Object.entries(others.divisions?.byService ?? {}).forEach(
    ([service, division]) => dispatch.setDivision(service, division),
  );
  dispatch.send({
    kind: "load_shared",
    running: others.running,
    prompting: others.prompting,
    hosts: others.hosts + 1,
    asOf: clock.now(),
    ...(others.outcomes && { outcomes: others.outcomes }),
    limits: applyOffset(others.limits ?? [], offsetMs),
    brittle: applyOffset(others.brittle ?? [], offsetMs),
    senders: others.senders ?? [],
    paces: others.paces ?? {},
  });
  const sentTo = dispatch.listSentTo();
  if (sentTo.toSorted().join() !== sentToBefore) {
    log.info(
      { servers: sentTo },
      "server: Sender of other brittle servers than before.",
    );
  }
  applyEvidence({ clock, clocks, dispatch }, core.getEvidence(others));
}

/** Returns a name that is unique to a server's incarnation: a restarted server keeps its identifier but has lost its state. */
function getServerName(listed: core.ListedServer): string {
  return `${listed.id}@${listed.startedAt}`;
}

function toServerInfo(
  listed: core.ListedServer,
  { name, limit, isEvacuated, coldMs, software }: {
    readonly name: string;
    readonly software: string;
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
    software,
  };
}

function toColdReport(listed: core.ListedServer): core.ColdReport {
  return {
    name: getServerName(listed),
    failureDomain: listed.failureDomain,
    coldMs: listed.coldMs,
    revision: listed.revision,
  };
}
