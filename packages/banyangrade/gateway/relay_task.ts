/**
 * Elects a relay: one host of each failure domain that follows the store for the
 * other hosts there, so that the load on the store does not grow with their
 * number.
 *
 * The relay is the host that holds a lease. The other hosts find it by the lease's
 * record. While no relay answers they follow the store directly, so that the loss
 * of a relay costs additional calls but does not interrupt the service.
 */
import type * as http from "node:http";
import * as core from "@banyangrade/core";
import type * as listener from "@banyangrade/listener";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as relayNetwork from "./relay_network.ts";

/** Duration of the relay's lease, in ms; after a relay is lost its followers have no relay for about as long. */
const LEASE_MS = 3_000;
/** Safety margin of the lease for clock drift and scheduling delays, in ms. */
const LEASE_MARGIN_MS = 400;
/** Time for which an announcement of a new relay is kept while this host holds the lease, in ms; a lease that is not renewed ends within it. */
const ANNOUNCEMENT_MS = 2 * LEASE_MS;
/** Longest wait for the first lookup of the relay at startup, in ms; the duration of a slow store call. */
const INITIAL_LOOKUP_MS = 200;
/** Time for which a relay that did not answer is not called again, in ms; the lease of a crashed relay ends within it. */
const RELAY_BACKOFF_MS = 2_500;
/** Shortest and longest time that an answer of a relay is waited for beyond the wait that the call asks for, in ms. */
const ANSWER_LIMITS = { minMs: 300, maxMs: 1_500 };
/** Longest time until a host looks for the relay again after it has found that the relay's process has ended, in ms. */
const ENDED_LOOK_MS = 300;

/** Options of {@link RelayTask}. */
export interface RelayOptions {
  readonly store: store.KeyValueClient;
  /** Includes the time for which the process was suspended, so that a lease expires meanwhile. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly random: utils.Random;
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Address at which this host serves followers; undefined if the deployment has no relays. */
  readonly address: string | undefined;
  /** Rate of this host's network link, in Mbit/s; undefined if it is not limited. */
  readonly linkMbps: number | undefined;
  /** Estimates the number of hosts of this failure domain. */
  readonly countDomainHosts: () => number;
  readonly getHandlers: () => peer.RelayHandlers;
  /** Handles the plain HTTP requests of other hosts. */
  readonly onRequest: http.RequestListener;
  /** Bounds what connections of other hosts hold. */
  readonly guard: listener.ClientGuard;
  readonly maxConnections: number;
  /** @default {@link relayNetwork.SOCKET_NETWORK} */
  readonly network?: relayNetwork.RelayNetwork;
}

/** The connections to a relay. */
interface RelayConnections {
  readonly clients: relayNetwork.RelayClients;
  readonly times: core.AnswerTimes;
}

/** How a call to a relay ended without an answer. */
type RelayFailure =
  /** The relay has answered other calls meanwhile. */
  | "late"
  | "lost"
  /** Another process answered: that of the relay has ended. */
  | "replaced";

/** What an answer says about the relay that gave it. */
export interface RelayState {
  /** Whether the relay's data is fresh; undefined if the answer does not say. */
  readonly ready?: boolean;
  /** The relay that the answering host follows itself. */
  readonly successor?: peer.RelayRecord;
}

/** A call to a relay. */
export interface RelayCall<Answer> {
  readonly step: string;
  readonly run: peer.PeerCall<peer.RelayRouter, Answer>;
  /** Time for which the relay may hold the call open, in ms. @default 0 */
  readonly waitMs?: number;
  /** Reads the state of the relay from its answer. */
  readonly readState?: (answer: Answer) => RelayState;
}

/** Finds the relay of this failure domain, or acts as the relay. */
export class RelayTask {
  readonly #options: RelayOptions;
  readonly #secret = utils.createId();
  readonly #network: relayNetwork.RelayNetwork;
  readonly #connections = new Map<string, RelayConnections>();
  #holder: store.LeaseHolder | undefined;
  #server: peer.PeerServer | undefined;
  #closed = false;
  #relay: peer.RelayRecord | undefined;
  readonly #readiness = new core.RelayReadiness();
  /** A relay that this host gave up, until another one is found and announced to it. */
  #former: peer.RelayRecord | undefined;
  /** A relay that was announced while this host held the lease. */
  #announced:
    | { readonly relay: peer.RelayRecord; readonly until: number }
    | undefined;
  /** Time from which this host looks for the role. */
  #lookFrom = Number.NEGATIVE_INFINITY;
  /** Incarnation of a relay that did not answer, and the time until which it is not called. */
  #unresponsive = { incarnation: "", until: 0 };
  /** Incarnation of the last relay that is known to have ended; its lease keeps nobody from the role. */
  #ended: string | undefined;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#network = options.network ?? relayNetwork.SOCKET_NETWORK;
  }

  async start(): Promise<void> {
    const { address, clock, host, incarnation, log } = this.#options;
    const { linkMbps, random } = this.#options;
    if (address === undefined) return;
    this.#server = await this.#network.startServer({
      ...utils.splitAddress(address),
      secrets: [this.#secret],
      router: peer.buildRelayRouter(this.#options.getHandlers()),
      onRequest: this.#options.onRequest,
      guard: this.#options.guard,
      maxConnections: this.#options.maxConnections,
    });
    this.#holder = store.startLeaseHolder({
      store: this.#options.store,
      clock,
      log,
      role: `relay/${this.#options.failureDomain}`,
      host,
      incarnation,
      terms: { ttlMs: LEASE_MS, marginMs: LEASE_MARGIN_MS },
      getAttemptDelayMs: () =>
        core.computeAttemptDelay({ linkMbps, drawn: random.next() }),
      // Two relays at a time are harmless, so no time is reserved for calls in flight.
      flightMs: 0,
      contact: { address, secret: this.#secret },
      isCandidate: () => this.#relay === undefined && this.#mayLook(),
      hasEnded: (record) => record.incarnation === this.#ended,
      onOtherHolder: (record) => this.#setRelay(record),
      onChange: ({ kind }) => {
        const contact = { address, secret: this.#secret };
        if (kind === "held") this.#sendRelay({ host, incarnation, contact });
        else this.#applyAnnouncement();
      },
    });
    // A host that finds the relay now reads its initial state from it rather than
    // from the store.
    await Promise.race([
      this.#holder.firstLookup,
      utils.waitFor(INITIAL_LOOKUP_MS),
    ]);
  }

  /** Releases the lease; followers are answered until {@link close}. */
  async stop(): Promise<void> {
    const holder = this.#holder;
    this.#holder = undefined;
    await holder?.release();
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#connections.forEach(({ clients }) => clients.close());
    await this.#server?.close();
  }

  /** Whether this host is the relay of its failure domain. */
  isRelay(): boolean {
    const lease = this.#holder?.getLease() ?? { kind: "none" };
    return core.isLeaseHeld(lease, this.#options.clock.now());
  }

  /** Returns how other relays reach this host; undefined if it is no relay. */
  getContact(): store.RoleContact | undefined {
    const { address } = this.#options;
    return address === undefined || !this.isRelay()
      ? undefined
      : { address, secret: this.#secret };
  }

  /** Calls the relay of this failure domain; returns undefined if there is none or it does not answer. */
  async callRelay<Answer>(
    call: RelayCall<Answer>,
  ): Promise<Answer | undefined> {
    const relay = this.#relay;
    if (relay?.contact === undefined) return undefined;
    const calledAt = this.#options.clock.now();
    const answer = await this.#sendCall(relay.contact, call);
    if (answer.ok) {
      if (this.#relay === relay) this.#applyState(call.readState?.(answer.val));
      return answer.val;
    }
    const failure = answer.val;
    if (failure !== "late") this.#markUnresponsive(relay, failure);
    this.#recordUnanswered(relay, { step: call.step, failure, calledAt });
    return undefined;
  }

  /** Records the outcome of a call of this host to the store. */
  recordStoreCall({ outcome }: store.EndedStoreCall): void {
    const ok = outcome === "ok";
    this.#readiness.recordStoreCall({ ok }, this.#options.clock.now());
  }

  /** Returns the relay that this host follows; undefined if there is none or this host is the relay. */
  getFollowed(): peer.RelayRecord | undefined {
    return this.isRelay() ? undefined : this.#relay;
  }

  /**
   * Accepts the relay that has replaced this host. While the store rejects this
   * host it cannot find that relay there, and its followers cannot either; they
   * learn of it from this host's answers. It is announced only once, so it is
   * kept while this host's own lease has not ended yet.
   */
  acceptRelay(relay: peer.RelayRecord): void {
    const until = this.#options.clock.now() + ANNOUNCEMENT_MS;
    this.#announced = { relay, until };
    if (!this.isRelay()) this.#applyAnnouncement();
  }

  #applyAnnouncement(): void {
    const announced = this.#announced;
    this.#announced = undefined;
    if (announced === undefined || this.#relay !== undefined) return;
    if (this.#options.clock.now() >= announced.until) return;
    this.#setRelay(announced.relay);
  }

  /** Calls a given relay; returns undefined if it does not answer. */
  async callContact<Answer>(
    contact: store.RoleContact,
    call: RelayCall<Answer>,
  ): Promise<Answer | undefined> {
    const answer = await this.#sendCall(contact, call);
    return answer.ok ? answer.val : undefined;
  }

  async #sendCall<Answer>(
    contact: store.RoleContact,
    { step, run, waitMs = 0 }: RelayCall<Answer>,
  ): Promise<utils.Result<Answer, RelayFailure>> {
    // A status round may still run after the close and would open a connection
    // that is never closed.
    if (this.#closed || !store.isContact(contact)) return utils.Err("lost");
    const { clock, log } = this.#options;
    const { clients, times } = this.#getConnections(contact);
    const sentAt = clock.now();
    const answer = await clients.call(
      { address: contact.address, step, waitMs },
      run,
      times.getLimitMs(),
    );
    if (answer.ok) {
      const ms = clock.now() - sentAt - waitMs;
      if (ms >= 0) times.record(ms);
      return utils.Ok(answer.val);
    }
    log.debug({ error: answer.val }, "Relay did not answer.");
    return utils.Err(classifyFailure(answer.val.code));
  }

  /** Closes idle connections to relays. */
  closeIdle(): void {
    this.#connections.forEach(({ clients }) => clients.closeIdle());
  }

  #getConnections({ secret }: store.RoleContact): RelayConnections {
    const known = this.#connections.get(secret);
    if (known !== undefined) return known;
    const { clock } = this.#options;
    const connections: RelayConnections = {
      clients: this.#network.createClients({
        secret,
        clock,
        endsPending: true,
      }),
      times: new core.AnswerTimes(ANSWER_LIMITS),
    };
    this.#connections.set(secret, connections);
    return connections;
  }

  /** Whether this host may look for the role now; schedules the next look if it may. */
  #mayLook(): boolean {
    const now = this.#options.clock.now();
    if (now < this.#lookFrom) return false;
    this.#lookFrom = now + this.#getLookInterval();
    return true;
  }

  #getLookInterval(): number {
    const { countDomainHosts, linkMbps } = this.#options;
    const hosts = countDomainHosts();
    // A look waits for the next round of the lease holder.
    return core.computeLookInterval({ hosts, linkMbps }) - LEASE_MS / 4;
  }

  #applyState({ ready, successor }: RelayState = {}): void {
    const now = this.#options.clock.now();
    if (ready !== undefined) this.#readiness.recordAnswer({ ready }, now);
    // An answer that does not say whether the relay is ready decides nothing: the
    // relay may have become ready since it last said so.
    const isUnready = ready === false;
    if (isUnready && this.#readiness.isReplaceable(now)) {
      return this.#abandonRelay();
    }
    // The answers of the former relay keep counting: two hosts that name each other
    // must not postpone the replacement of both.
    if (successor !== undefined) this.#setRelay(successor);
  }

  /** Gives up a relay that the store rejects while it serves this host, which becomes a candidate for the role. */
  #abandonRelay(): void {
    const relay = this.#relay;
    if (relay === undefined) return;
    this.#former = relay;
    this.#forgetRelay(relay, "Relay has lost the store and is replaced.");
  }

  /** Tells the relay that this host gave up which one has replaced it. */
  #sendRelay(relay: peer.RelayRecord): void {
    const former = this.#former;
    this.#former = undefined;
    if (former?.contact === undefined) return;
    if (former.incarnation === relay.incarnation) return;
    const { contact } = former;
    const step = "relay.announceRelay";
    utils.runDetached(
      () =>
        this.callContact(contact, {
          step,
          run: (client, signal) =>
            client.announceRelay.mutate(relay, { signal }),
        }),
      utils.createErrorLog(this.#options.log, step),
    );
  }

  #setRelay(record: peer.RelayRecord): void {
    const { clock, log } = this.#options;
    const { host, contact } = record;
    const avoided = record.incarnation === this.#unresponsive.incarnation &&
      clock.now() < this.#unresponsive.until;
    // An earlier process of this host may still hold the lease.
    const isOwn = host === this.#options.host;
    if (contact === undefined || avoided || isOwn) return;
    this.#endCalls(this.#relay, { except: record });
    this.#relay = record;
    log.info({ relay: host }, "Relay found.");
    this.#sendRelay(record);
  }

  /**
   * Ends the calls to a relay that this host no longer follows. Once the other calls
   * go elsewhere nothing else would show that it is silent.
   */
  #endCalls(
    relay: peer.RelayRecord | undefined,
    { except }: { readonly except?: peer.RelayRecord } = {},
  ): void {
    const secret = relay?.contact?.secret;
    if (secret === undefined || secret === except?.contact?.secret) return;
    this.#connections.get(secret)?.clients.close();
  }

  #markUnresponsive(
    relay: peer.RelayRecord,
    failure: Exclude<RelayFailure, "late">,
  ): void {
    if (this.#relay !== relay) return;
    this.#forgetRelay(relay, "Relay lost; following the store directly.");
    if (failure === "replaced") return this.#recordEnded(relay);
    const step = "relay.checkEnded";
    utils.runDetached(
      () => this.#checkEnded(relay),
      utils.createErrorLog(this.#options.log, step),
    );
  }

  async #checkEnded(relay: peer.RelayRecord): Promise<void> {
    if (relay.contact === undefined) return;
    const isEnded = await this.#network.isRefused(relay.contact.address);
    if (isEnded) this.#recordEnded(relay);
  }

  /** Records that a relay's process has ended, and looks for the role before its lease ends. */
  #recordEnded({ host, incarnation }: peer.RelayRecord): void {
    const { clock, log, random } = this.#options;
    if (this.#ended === incarnation) return;
    this.#ended = incarnation;
    this.#lookFrom = Math.min(
      this.#lookFrom,
      clock.now() + random.next() * ENDED_LOOK_MS,
    );
    log.info({ relay: host }, "The process of the relay has ended.");
  }

  /** Logs how long a call to a relay was pending, and for how long of that the relay had been given up. */
  #recordUnanswered(
    { host, incarnation }: peer.RelayRecord,
    { step, failure, calledAt }: {
      readonly step: string;
      readonly failure: RelayFailure;
      readonly calledAt: number;
    },
  ): void {
    const now = this.#options.clock.now();
    const isKnownLost = incarnation === this.#unresponsive.incarnation;
    const lostAt = this.#unresponsive.until - RELAY_BACKOFF_MS;
    this.#options.log.info({
      relay: host,
      step,
      failure,
      waitedMs: Math.round(now - calledAt),
      lostForMs: isKnownLost ? Math.round(now - lostAt) : undefined,
    }, "Call to the relay ended without an answer.");
  }

  /** Stops using a relay and does not use it again for some time. */
  #forgetRelay(relay: peer.RelayRecord, message: string): void {
    this.#relay = undefined;
    this.#endCalls(relay);
    this.#readiness.clear();
    this.#unresponsive = {
      incarnation: relay.incarnation,
      until: this.#options.clock.now() + RELAY_BACKOFF_MS,
    };
    // Hosts that lose their relay together must not look for the role together.
    this.#lookFrom = this.#options.clock.now() +
      this.#options.random.next() * this.#getLookInterval();
    this.#options.log.warn({ relay: relay.host }, message);
  }
}

function classifyFailure(code: utils.FailureCode): RelayFailure {
  switch (code) {
    case "timeout":
      return "late";
    case "rejected":
      return "replaced";
    default:
      return "lost";
  }
}
