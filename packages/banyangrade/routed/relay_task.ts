/**
 * One host of each failure domain, the relay, follows the store for the others,
 * whose calls would grow with the fleet.
 *
 * The relay is whoever holds a lease. The others find it by the lease's record,
 * and go to the store themselves while there is none that answers, so that a
 * relay that is lost costs calls, not service.
 */
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

/** Length of the relay's lease, in ms: the followers go without a relay for about as long after a loss. */
const LEASE_MS = 3_000;
/** Margin of the lease for clock drift and scheduling, in ms. */
const LEASE_MARGIN_MS = 400;
/** Longest wait at the start for word of who the relay is, in ms: a slow call of the store. */
const FIRST_LOOK_MS = 200;
/** Time over which hosts that start together spread their tries for the lease, in ms: many calls of the store long, and half of what a process takes to start. */
const TRIES_SPREAD_MS = 300;
/** Time for which a relay that did not answer is not asked again, in ms: until its lease has ended if it is gone. */
const AVOID_MS = 2_500;
/** Time after which a relay does not answer, in ms beyond what it was to wait: hundreds of times the way there. */
const ANSWER_MS = 300;

/** Options of {@link RelayTask}. */
export interface RelayOptions {
  readonly store: store.KeyValueClient;
  /** Counts suspensions, so that a lease does not outlast one. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly random: utils.Random;
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Where this host serves others; undefined if the deployment has no relays. */
  readonly address: string | undefined;
  readonly getHandlers: () => peer.RelayHandlers;
}

type RelayClients = peer.PeerClients<peer.RelayRouter>;

/** A call of a relay. */
export interface RelayCall<Answer> {
  readonly step: string;
  readonly run: peer.PeerRun<peer.RelayRouter, Answer>;
  /** Time for which the relay keeps the call, in ms. @default 0 */
  readonly waitMs?: number;
}

/** Finds the relay, or is it. */
export class RelayTask {
  readonly #options: RelayOptions;
  readonly #secret = utils.createId();
  readonly #clients = new Map<string, RelayClients>();
  #holder: store.LeaseHolder | undefined;
  #server: peer.PeerServer | undefined;
  #closed = false;
  #relay: store.RoleRecord | undefined;
  /** Incarnation of a relay that did not answer, and until when it is avoided. */
  #avoided = { incarnation: "", until: 0 };

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { address, clock, host, incarnation, log, random } = this.#options;
    if (address === undefined) return;
    this.#server = await peer.startPeerServer({
      ...utils.splitAddress(address),
      secrets: [this.#secret],
      router: peer.buildRelayRouter(this.#options.getHandlers()),
    });
    this.#holder = store.startLeaseHolder({
      store: this.#options.store,
      clock,
      log,
      role: `relay/${this.#options.failureDomain}`,
      host,
      incarnation,
      terms: { ttlMs: LEASE_MS, marginMs: LEASE_MARGIN_MS },
      getPauseMs: () => random.below(TRIES_SPREAD_MS),
      // A relay serves whoever asks; two of them do no harm.
      flightMs: 0,
      contact: { address, secret: this.#secret },
      isCandidate: () => this.#relay === undefined,
      onOther: (record) => this.#setRelay(record),
      onChange: () => undefined,
    });
    // A host that starts by itself then has everything from the relay.
    await Promise.race([this.#holder.looked, utils.waitFor(FIRST_LOOK_MS)]);
  }

  /** Gives the lease back; followers are answered until {@link close}. */
  async stop(): Promise<void> {
    const holder = this.#holder;
    this.#holder = undefined;
    await holder?.release();
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#clients.forEach((clients) => clients.close());
    await this.#server?.close();
  }

  /** Whether this host is the relay of its failure domain. */
  isRelay(): boolean {
    return this.#holder?.getLease().kind === "held";
  }

  /** How other relays reach this host; undefined if it is none. */
  getContact(): store.RoleContact | undefined {
    const { address } = this.#options;
    return address === undefined || !this.isRelay()
      ? undefined
      : { address, secret: this.#secret };
  }

  /** Calls the relay; undefined if there is none, or it does not answer. */
  async callRelay<Answer>(
    call: RelayCall<Answer>,
  ): Promise<Answer | undefined> {
    const relay = this.#relay;
    if (relay?.contact === undefined) return undefined;
    const answer = await this.callContact(relay.contact, call);
    if (answer !== undefined) return answer;
    this.#markSilent(relay);
    return undefined;
  }

  /** Calls any relay; undefined if it does not answer. */
  async callContact<Answer>(
    contact: store.RoleContact,
    { step, run, waitMs = 0 }: RelayCall<Answer>,
  ): Promise<Answer | undefined> {
    // A round that ends late would open a connection that nobody closes.
    if (this.#closed) return undefined;
    const answer = await this.#getClients(contact).call(
      { address: contact.address, step },
      run,
      waitMs + ANSWER_MS,
    );
    if (answer.ok) return answer.val;
    this.#options.log.debug({ error: answer.val }, "Relay silent.");
    return undefined;
  }

  /** Closes connections that nobody uses. */
  closeIdle(): void {
    this.#clients.forEach((clients) => clients.closeIdle());
  }

  #getClients({ secret }: store.RoleContact): RelayClients {
    const known = this.#clients.get(secret);
    if (known !== undefined) return known;
    const { clock } = this.#options;
    const clients: RelayClients = new peer.PeerClients({ secret, clock });
    this.#clients.set(secret, clients);
    return clients;
  }

  #setRelay(record: store.RoleRecord): void {
    const { clock, log } = this.#options;
    const { host, contact } = record;
    const avoided = record.incarnation === this.#avoided.incarnation &&
      clock.now() < this.#avoided.until;
    // An earlier life of this host may still have the lease.
    const own = host === this.#options.host;
    if (contact === undefined || avoided || own) return;
    this.#relay = record;
    log.info({ relay: host }, "Relay found.");
  }

  #markSilent(relay: store.RoleRecord): void {
    if (this.#relay !== relay) return;
    this.#relay = undefined;
    this.#avoided = {
      incarnation: relay.incarnation,
      until: this.#options.clock.now() + AVOID_MS,
    };
    this.#options.log.warn({ relay: relay.host }, "Relay lost.");
  }
}
