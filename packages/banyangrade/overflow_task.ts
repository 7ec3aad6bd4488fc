/**
 * Slots of other failure domains: while work waits that this failure domain
 * cannot serve, and while work of this host runs elsewhere, demand goes to a
 * host there, which passes it on to its capacity leader. Nothing is sent
 * otherwise.
 */
import type * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as dispatch from "./dispatch_task.ts";

/** Options of {@link OverflowTask}. */
export interface OverflowTaskOptions {
  readonly clock: utils.Clock;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly dispatch: dispatch.DispatchTask;
  readonly dispatcher: core.Dispatcher;
  readonly host: string;
  /** Peer address of this host. */
  readonly address: string;
}

/** Asks other failure domains for slots. */
export class OverflowTask {
  readonly #options: OverflowTaskOptions;
  #turn = 0;
  #busy = false;
  #stop: () => void = () => undefined;

  constructor(options: OverflowTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      constants.DEMAND_MS,
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
  }

  /** One round at a time: a slow failure domain must not pile calls up. */
  async #runRound(): Promise<void> {
    if (this.#busy) return;
    this.#busy = true;
    const asked = new Set<string>();
    for (
      let next = this.#listUnasked(asked);
      next.length > 0;
      next = this.#listUnasked(asked).filter((domain) => domain.waiting)
    ) {
      next.forEach((domain) => asked.add(domain.failureDomain));
      await Promise.all(next.map((domain) => this.#ask(domain)));
    }
    this.#busy = false;
  }

  /** Goes on to the next failure domain while the one before left work waiting. */
  #listUnasked(asked: ReadonlySet<string>): core.DomainDemand[] {
    this.#turn += 1;
    return this.#options.dispatcher.listOverflow(this.#turn)
      .filter((domain) => !asked.has(domain.failureDomain));
  }

  async #ask({ failureDomain, demands }: core.DomainDemand): Promise<void> {
    const { clock, host, address, dispatch } = this.#options;
    const asOf = clock.now();
    const message = { host, demands, visitor: address };
    const grant = await this.#sendDemand(failureDomain, message) ??
      await this.#sendDemand(failureDomain, message);
    // No answer is an answer too: requests must not wait for slots that nobody
    // will grant.
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

  /** Finds a host of a failure domain; relays know some of each. */
  async #findContact(
    failureDomain: string,
  ): Promise<peer.Contact | undefined> {
    const { overlay, clients, host } = this.#options;
    const find = () =>
      overlay.listRemoteContacts()
        .find((contact) => contact.failureDomain === failureDomain);
    const known = find();
    const relay = overlay.listRelays().find((member) => member.name !== host);
    if (known !== undefined || relay === undefined) return known;
    const answer = await clients.call(
      { address: relay.address, step: "peer.remoteContacts" },
      (client, signal) => client.remoteContacts.query(undefined, { signal }),
    );
    overlay.setContacts(answer.unwrapOr([]));
    return find();
  }
}
