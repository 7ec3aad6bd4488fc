/** Acquires and renews the lease of one control role in the store. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

/** The holder of a role, as stored. */
export interface RoleRecord {
  readonly host: string;
  readonly incarnation: string;
  /** Unique for each attempt, so that a write whose response was lost can be recognised. */
  readonly writerToken: string;
  /** How other hosts reach the holder; absent for roles that are not called. */
  readonly contact?: RoleContact;
}

/** Address and secret with which the holder of a role is called. */
export interface RoleContact {
  readonly address: string;
  /** Proves to the holder that the caller reads the same store. */
  readonly secret: string;
}

/** Text of which contacts are made: nothing that a header cannot hold. */
const CONTACT_TEXT = /^[\x21-\x7e]+$/;

/**
 * Whether a value that another process wrote says how a host is called. Clients throw
 * for other addresses and secrets.
 *
 * @example
 * isContact({ address: "10.0.0.1:99999", secret: "s" }); // false
 */
export function isContact(value: unknown): value is RoleContact {
  const { address, secret } = (value ?? {}) as Partial<RoleContact>;
  return utils.isIpv4Address(address) && typeof secret === "string" &&
    CONTACT_TEXT.test(secret);
}

/** Options of {@link startLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly store: client.KeyValueClient;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  /** Name of the role, such as `orders/rosenheim`. */
  readonly role: string;
  readonly host: string;
  readonly incarnation: string;
  readonly terms: core.LeaseTerms;
  /** Longest time in ms for which an order of the previous holder can be in flight. */
  readonly flightMs: number;
  /** Whether this host tries to acquire the role. Few hosts should, because each attempt calls the store. */
  readonly isCandidate: () => boolean;
  /**
   * Delay in ms before an attempt to acquire a free role. Without it, hosts that
   * start at the same time would all try at once, with four calls each, although
   * only one can succeed.
   * @default 0
   */
  readonly getAttemptDelayMs?: () => number;
  /** Called when this host acquires or loses the role. */
  readonly onChange: (lease: core.LeaseState) => void;
  /**
   * Whether the process that holds the role is known to have ended, so that its lease
   * need not be waited for. Only for roles that two hosts may hold for a time.
   * @default never
   */
  readonly hasEnded?: (record: RoleRecord) => boolean;
  /** How other hosts reach this host while it holds the role. */
  readonly contact?: RoleContact;
  /** Called with the holder if another host holds the role. */
  readonly onOtherHolder?: (record: RoleRecord) => void;
}

/** A role that this host holds or tries to acquire. */
export interface LeaseHolder {
  /** Returns the local state of the lease. Call it immediately before each action that needs the role. */
  readonly getLease: () => core.LeaseState;
  /** Resolves after the first lookup of the role's holder. */
  readonly firstLookup: Promise<void>;
  /** Revokes the lease, so that the next holder need not wait until it expires. */
  readonly release: () => Promise<void>;
}

/**
 * Starts to acquire a role and to renew its lease.
 *
 * @example
 * const holder = startLeaseHolder({ store, role: "orders/rosenheim", ...rest });
 * core.mayAct(holder.getLease(), clock.now());
 */
export function startLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  let lease: core.LeaseState = { kind: "none" };
  let renewable: core.LeaseState = { kind: "none" };
  let released = false;
  let advancing = false;
  let markLookedUp = () => {};
  const looked = new Promise<void>((resolve) => {
    markLookedUp = resolve;
  });

  function setLease(next: core.LeaseState): void {
    const changed = next.kind !== lease.kind;
    lease = next;
    if (!changed) return;
    const event = next.kind === "held" ? "acquired" : "lost";
    options.log.info({ role: options.role }, `Role ${event}.`);
    options.onChange(next);
  }

  /**
   * Runs one round, unless the previous one is still waiting for its attempt. A
   * concurrent round would read the record that the waiting one writes, take it
   * for another process's and give up the lease that was just acquired.
   */
  async function advance(): Promise<void> {
    if (advancing) return;
    advancing = true;
    try {
      await runRound();
    } finally {
      advancing = false;
    }
  }

  async function runRound(): Promise<void> {
    const before = lease.kind === "held" ? lease : renewable;
    const next = await advanceLease(before, {
      ...options,
      onAttemptDelay: markLookedUp,
    });
    markLookedUp();
    renewable = next.kind === "held" ? next : { kind: "none" };
    if (!released && !core.isLeaseHeld(next, options.clock.now())) {
      setLease({ kind: "none" });
    } else if (!released) setLease(next);
    else if (next.kind === "held") {
      await options.store.revokeLease(next.leaseId);
    }
  }

  const onError = utils.createErrorLog(options.log, "roles.advance");
  const ms = options.terms.ttlMs / 4;
  const stop = utils.startInterval({ ms, onError }, advance);
  const first = setTimeout(() => utils.runDetached(advance, onError), 0);
  return {
    getLease: () => lease,
    firstLookup: looked,
    release: async () => {
      released = true;
      stop();
      clearTimeout(first);
      const held = lease;
      setLease({ kind: "none" });
      if (held.kind === "held") await options.store.revokeLease(held.leaseId);
    },
  };
}

/** Options of {@link advanceLease}. */
export interface AdvanceOptions
  extends Omit<LeaseHolderOptions, "log" | "onChange"> {
  /** Called when the role is free and the delay before the attempt begins. */
  readonly onAttemptDelay?: () => void;
}

/**
 * Renews the lease if it is held, otherwise tries to acquire it. A lease that has
 * expired by this host's clock is renewed as well, unless the store reports that it
 * is gone: a store that was unavailable may have paused the lease's countdown, and
 * the role would have no holder until the lease expired in the store.
 *
 * @example
 * lease = await advanceLease(lease, options);
 */
export async function advanceLease(
  lease: core.LeaseState,
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  if (lease.kind === "held") return await renew(lease, options);
  return options.isCandidate() ? await acquire(options) : lease;
}

async function renew(
  lease: Extract<core.LeaseState, { kind: "held" }>,
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  const sentAt = options.clock.now();
  const renewed = await options.store.renewLease(lease.leaseId);
  if (renewed.ok && renewed.val) {
    return core.recordRenewed(lease, { sentAt, terms: options.terms });
  }
  // A failed call does not show that the lease is gone. Its expiry time is
  // unchanged, and callers check it before they act.
  return renewed.ok ? { kind: "none" } : lease;
}

async function acquire(
  options: AdvanceOptions,
): Promise<core.LeaseState> {
  const key = getRoleKey(options.role);
  const { sentAt, current } = await readRole(key, options);
  if (current.err) return { kind: "none" };
  const holder = parseRole(current.val);
  if (current.val !== undefined && !mayReplace(holder, options)) {
    if (holder !== undefined) options.onOtherHolder?.(holder);
    return { kind: "none" };
  }
  const granted = await options.store.grantLease(options.terms.ttlMs / 1_000);
  if (granted.err) return { kind: "none" };
  const record: RoleRecord = {
    host: options.host,
    incarnation: options.incarnation,
    writerToken: utils.createId(),
    ...(options.contact && { contact: options.contact }),
  };
  const swapped = await client.swapAndConfirm(options.store, {
    key,
    expected: current.val?.modRevision ?? 0,
    value: JSON.stringify(record),
    lease: granted.val,
  });
  if (swapped.err || swapped.val.kind === "lost") {
    const winner = swapped.ok && swapped.val.kind === "lost"
      ? parseRole(swapped.val.current)
      : undefined;
    if (winner !== undefined) options.onOtherHolder?.(winner);
    await options.store.revokeLease(granted.val);
    return { kind: "none" };
  }
  return core.recordAcquired({
    leaseId: granted.val,
    token: swapped.val.modRevision,
    sentAt,
    wonAt: options.clock.now(),
    flightMs: options.flightMs,
  }, options.terms);
}

function parseRole(
  entry: client.StoreEntry | undefined,
): RoleRecord | undefined {
  const record = entry && utils.parseJson(entry.value);
  return isRoleRecord(record) ? record : undefined;
}

function isRoleRecord(value: unknown): value is RoleRecord {
  const { host, incarnation, contact } = (value ?? {}) as Partial<RoleRecord>;
  return typeof host === "string" && typeof incarnation === "string" &&
    (contact === undefined || isContact(contact));
}

interface ReadRole {
  /** Time at which the read was sent. */
  readonly sentAt: number;
  readonly current: utils.Result<
    client.StoreEntry | undefined,
    utils.StepError
  >;
}

/** Reads the holder of a role. If the role is free, reads it again after the configured delay. */
async function readRole(
  key: string,
  options: AdvanceOptions,
): Promise<ReadRole> {
  const read = async (): Promise<ReadRole> => ({
    sentAt: options.clock.now(),
    current: await options.store.get(key),
  });
  const first = await read();
  const isFree = first.current.ok &&
    (first.current.val === undefined ||
      hasHolderEnded(parseRole(first.current.val), options));
  const delayMs = isFree ? options.getAttemptDelayMs?.() ?? 0 : 0;
  if (delayMs === 0) return first;
  options.onAttemptDelay?.();
  await utils.waitFor(delayMs);
  return await read();
}

/** Whether a role that is held may be taken over. */
function mayReplace(
  holder: RoleRecord | undefined,
  options: AdvanceOptions,
): boolean {
  return isOwnPreviousProcess(holder, options) ||
    hasHolderEnded(holder, options);
}

function hasHolderEnded(
  holder: RoleRecord | undefined,
  { hasEnded }: AdvanceOptions,
): boolean {
  return holder !== undefined && hasEnded?.(holder) === true;
}

/**
 * Whether the role is held by an earlier process of this host. That process has
 * ended, and its lease would leave the role without an active holder until it
 * expires, even longer if the store was unavailable.
 */
function isOwnPreviousProcess(
  holder: RoleRecord | undefined,
  { host, incarnation }: AdvanceOptions,
): boolean {
  return holder?.host === host && holder.incarnation !== incarnation;
}

/**
 * Returns the store key of a role's holder.
 *
 * @example
 * getRoleKey("orders/rosenheim"); // "banyangrade/roles/orders/rosenheim"
 */
export function getRoleKey(role: string): string {
  return `banyangrade/roles/${role}`;
}
