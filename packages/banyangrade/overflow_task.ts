/**
 * Requests slots of other failure domains. A demand is sent only while requests are
 * queued that this failure domain cannot serve, or while requests of this host run in
 * another. It goes to any host there, which forwards it to its capacity leader.
 */
import type * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as dispatch from "./dispatch_task.ts";

/** Options of {@link OverflowTask}. */
export interface OverflowTaskOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly dispatch: dispatch.DispatchTask;
  readonly dispatcher: core.Dispatcher;
  readonly host: string;
  /** Peer address of this host. */
  readonly address: string;
}

/** Requests slots from other failure domains. */
export class OverflowTask {
  readonly #options: OverflowTaskOptions;
  #listCount = 0;
  #running = false;
  #stop: () => void = () => undefined;

  constructor(options: OverflowTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      {
        ms: constants.DEMAND_MS,
        onError: utils.createErrorLog(this.#options.log, "overflow.round"),
      },
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
  }

  /** Runs one round. Rounds do not overlap, so that calls to a slow failure domain do not accumulate. */
  async #runRound(): Promise<void> {
    if (this.#running) return;
    this.#running = true;
    const asked = new Set<string>();
    for (
      let next = this.#listRemaining(asked);
      next.length > 0;
      next = this.#listRemaining(asked).filter((domain) => domain.waiting)
    ) {
      next.forEach((domain) => asked.add(domain.failureDomain));
      await Promise.all(next.map((domain) => this.#fetchGrants(domain)));
    }
    this.#running = false;
  }

  /**
   * Lists the failure domains with demand that were not asked in this round. After an
   * answer, queued requests may move on to the next one.
   */
  #listRemaining(asked: ReadonlySet<string>): core.DomainDemand[] {
    this.#listCount += 1;
    return this.#options.dispatcher.listOverflow(this.#listCount)
      .filter((domain) => !asked.has(domain.failureDomain));
  }

  async #fetchGrants(
    { failureDomain, demands }: core.DomainDemand,
  ): Promise<void> {
    const { clock, host, address, dispatch } = this.#options;
    const asOf = clock.now();
    const message = { host, demands, visitor: address };
    const grant = await this.#sendDemand(failureDomain, message) ??
      await this.#sendDemand(failureDomain, message);
    // Without an answer, empty grants are applied: otherwise requests would wait for
    // slots that no host will grant.
    dispatch.send({
      kind: "overflow_granted",
      failureDomain,
      grants: grant?.grants ?? [],
      servers: grant?.servers ?? [],
      asOf,
    });
  }

  async #sendDemand(
    failureDomain: string,
    message: peer.DemandMessage,
  ): Promise<peer.GrantMessage | undefined> {
    const contact = await this.#findContact(failureDomain);
    if (contact === undefined) return undefined;
    const answer = await this.#options.clients.call(
      { address: contact.address, step: "peer.demand" },
      (client, signal) => client.demand.mutate(message, { signal }),
    );
    if (answer.err) this.#options.overlay.dropContact(contact.name);
    return answer.unwrapOr(undefined);
  }

  /**
   * Finds a host of a failure domain; if this host knows none, it asks a relay, which
   * knows some hosts of every failure domain.
   */
  async #findContact(
    failureDomain: string,
  ): Promise<peer.Contact | undefined> {
    const { overlay, clients, host } = this.#options;
    const findKnown = () =>
      overlay.listRemoteContacts()
        .find((contact) => contact.failureDomain === failureDomain);
    const known = findKnown();
    const relay = overlay.listRelays().find((member) => member.name !== host);
    if (known !== undefined || relay === undefined) return known;
    const answer = await clients.call(
      { address: relay.address, step: "peer.remoteContacts" },
      (client, signal) => client.remoteContacts.query(undefined, { signal }),
    );
    overlay.setContacts(answer.unwrapOr([]));
    return findKnown();
  }
}
