/**
 * Hands requests to other hosts while this host has lost its links to the
 * servers, and takes requests of hosts that have lost theirs. Which requests are
 * handed over is decided by the dispatcher; this task tells it which hosts reach
 * the servers.
 */
import type * as http from "node:http";
import * as lru from "lru-cache";
import * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import * as handoverProtocol from "./handover_protocol.ts";
import type * as heldBytesModule from "./held_bytes.ts";
import * as ingress from "./ingress.ts";

/** Maximum number of other hosts that are remembered. */
const MAX_CONTACTS = 32;
/** Number of hosts that are asked at a time whether they reach the servers. */
const MAX_ASKED = 6;
/** Interval between questions, in ms. */
const ASK_MS = 400;
/** Largest answer of a host to the question about its links, in bytes. */
const MAX_REPORT_BYTES = 1024 * 1024;
/** Longest wait for an answer, in ms; a hundred times the latency between failure domains. */
const ANSWER_MS = 300;
/**
 * Age up to which the last sign of a server counts, in ms. A host that lost its
 * links at the same moment may not have noticed it, but has no newer sign.
 */
const MAX_REACHED_AGE_MS = 400;
/** Time for which a host waits for the trials of its links before it answers, in ms; ten times the latency between failure domains. */
const TRIAL_WAIT_MS = 60;
/** Largest size of news of lost servers, in bytes. */
const MAX_SUSPECTS_BYTES = 256 * 1024;
/** Maximum number of connections to one other host. */
const MAX_CONNECTIONS = 128;

/** Options of {@link HandoverTask}. */
export interface HandoverOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly random: utils.Random;
  readonly host: string;
  readonly failureDomain: string;
  /** Address at which this host takes requests; undefined if it takes none. */
  readonly address: string | undefined;
  readonly dispatch: dispatchTask.DispatchTask;
  readonly heldBytes: heldBytesModule.HeldBytes;
  /** Whether this host may take requests, apart from its links. */
  readonly takesRequests: () => boolean;
  /** Handles a request that another host hands over. */
  readonly onRequest: (incoming: ingress.IncomingRequest) => void;
  /** Handles news of lost servers. */
  readonly onSuspects: (text: string) => void;
}

/** A host to which requests can be sent. */
export interface ReachedHost {
  readonly contact: core.HostContact;
  readonly connections: service.ServerConnections;
}

/** Finds hosts with working links, and serves hosts without. */
export class HandoverTask {
  readonly #options: HandoverOptions;
  readonly #secret = utils.createId();
  readonly #secretDigest = utils.computeDigest(this.#secret);
  readonly #contacts = new lru.LRUCache<string, core.HostContact>({
    max: MAX_CONTACTS,
  });
  /** Connections by the secret of the process at their other end. */
  readonly #connections = new lru.LRUCache<string, service.ServerConnections>({
    max: MAX_CONTACTS,
    dispose: (connections) =>
      this.#runDetached("handover.close", () => connections.close()),
  });
  #peers: readonly core.PeerHost[] = [];
  #timer: NodeJS.Timeout | undefined;
  #closed = false;
  /** Requests that other hosts are running for this host. */
  #open = 0;

  constructor(options: HandoverOptions) {
    this.#options = options;
  }

  /** Returns how other hosts hand requests to this one; undefined if it takes none. */
  getContact(): core.HostContact | undefined {
    const { host, failureDomain, address } = this.#options;
    return address === undefined
      ? undefined
      : { host, failureDomain, address, secret: this.#secret };
  }

  /** Records how other hosts are reached. */
  recordContacts(contacts: readonly core.HostContact[]): void {
    contacts.filter((contact) =>
      contact.host !== this.#options.host && store.isContact(contact)
    ).forEach((contact) => this.#contacts.set(contact.host, contact));
  }

  /** Looks for hosts with working links until this host runs all its requests itself. */
  start(): void {
    if (this.#timer !== undefined || this.#closed) return;
    this.#runDetached("handover.round", () => this.#runRound());
  }

  #runDetached(step: string, work: () => unknown): void {
    utils.runDetached(work, utils.createErrorLog(this.#options.log, step));
  }

  /** Returns the connections to a host; undefined if it is not known. */
  find(host: string): ReachedHost | undefined {
    const contact = this.#contacts.get(host);
    return contact && { contact, connections: this.#connect(contact) };
  }

  /** Hands nothing more to a host until it says again that it takes requests. */
  recordFailed(host: string): void {
    this.#setPeers(this.#peers.filter((peer) => peer.host !== host));
    this.#options.dispatch.send({ kind: "peer_failed", host });
  }

  /** Counts a request that another host runs for this one; returns a function that ends it. */
  open(): () => void {
    this.#open += 1;
    return () => {
      this.#open -= 1;
    };
  }

  countOpen(): number {
    return this.#open;
  }

  /** Returns the number of hosts to which requests can be handed now. */
  countPeers(): number {
    return this.#peers.length;
  }

  /** Handles a call of another host. */
  handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const call = handoverProtocol.readCall(request.headers, {
      secretDigest: this.#secretDigest,
    });
    switch (call.kind) {
      case "stranger":
        response.writeHead(403, { connection: "close" }).end();
        return;
      case "question":
        return this.#runDetached(
          "handover.answer",
          () => this.#answerQuestion(response),
        );
      case "suspects":
        return this.#runDetached(
          "handover.takeSuspects",
          () => this.#takeSuspects(request, response),
        );
      case "request": {
        const { heldBytes, onRequest } = this.#options;
        response.sendDate = false;
        const incoming = ingress.buildIncomingRequest(request, {
          response,
          heldBytes,
        });
        return onRequest({
          ...incoming,
          headers: handoverProtocol.removeHeaders(incoming.headers),
          answer: { ...incoming.answer, isToHost: true },
          handover: call.handover,
        });
      }
    }
  }

  /** Sends news of lost servers to some other hosts; statuses bring them to those that cannot be reached. */
  sendSuspects(text: string, hosts: number): void {
    if (this.#closed) return;
    this.#chooseAsked().slice(0, hosts).forEach((contact) =>
      this.#runDetached(
        "handover.sendSuspects",
        () => this.#sendSuspectsTo(contact, text),
      )
    );
  }

  async #sendSuspectsTo(
    contact: core.HostContact,
    text: string,
  ): Promise<void> {
    try {
      const { dispatcher } = this.#connect(contact);
      const { body } = await dispatcher.request({
        method: "POST",
        path: "/",
        headers: handoverProtocol.buildSuspectsHeaders(contact),
        body: text,
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      await body.dump();
    } catch (thrown) {
      const message = utils.getErrorMessage(thrown);
      this.#options.log.debug({ peer: contact.host, message }, "No answer.");
    }
  }

  async #takeSuspects(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of request) {
        bytes += (chunk as Buffer).length;
        if (bytes > MAX_SUSPECTS_BYTES) return void request.destroy();
        chunks.push(chunk as Buffer);
      }
    } catch {
      // The other host has closed the connection.
      return;
    }
    response.writeHead(204).end();
    this.#options.onSuspects(Buffer.concat(chunks).toString("utf8"));
  }

  async close(): Promise<void> {
    this.#closed = true;
    clearTimeout(this.#timer);
    const pools = [...this.#connections.values()];
    await Promise.all(pools.map((connections) => connections.destroy()));
  }

  /** Whether this host takes requests of other hosts now. */
  mayTakeRequests(): boolean {
    return this.#options.takesRequests();
  }

  async #answerQuestion(response: http.ServerResponse): Promise<void> {
    const { dispatch } = this.#options;
    if (this.#listTargets({ fresh: false }).length > 0) {
      dispatch.send({ kind: "links_questioned" });
      await utils.waitFor(TRIAL_WAIT_MS);
    }
    const report: handoverProtocol.LinkReport = {
      targets: this.mayTakeRequests() ? this.#listTargets({ fresh: true }) : [],
      queued: dispatch.countQueued(),
    };
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(report));
  }

  /** Lists the services of which the last sign of a server is fresh, or is not. */
  #listTargets({ fresh }: { readonly fresh: boolean }): string[] {
    return Object.entries(this.#options.dispatch.listReached())
      .filter(([, ageMs]) => (ageMs <= MAX_REACHED_AGE_MS) === fresh)
      .map(([target]) => target);
  }

  async #runRound(): Promise<void> {
    const { dispatch } = this.#options;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (!dispatch.hasFullShare()) return this.start();
      this.#setPeers([]);
    }, ASK_MS);
    // Each answer counts at once, because requests are waiting.
    await Promise.all(
      this.#chooseAsked().map(async (contact) => {
        const peer = await this.#ask(contact);
        const others = this.#peers.filter(({ host }) => host !== contact.host);
        this.#setPeers(peer === undefined ? others : [...others, peer]);
      }),
    );
  }

  /** Chooses the hosts to ask: those that took requests, then random others. */
  #chooseAsked(): core.HostContact[] {
    const { random } = this.#options;
    const known = new Set(this.#peers.map(({ host }) => host));
    return [...this.#contacts.values()]
      .map((contact) => ({
        contact,
        rank: known.has(contact.host) ? 0 : 1 + random.next(),
      }))
      .toSorted((a, b) => a.rank - b.rank)
      .slice(0, MAX_ASKED)
      .map(({ contact }) => contact);
  }

  /** Asks a host about its links; returns undefined unless it takes requests. */
  async #ask(contact: core.HostContact): Promise<core.PeerHost | undefined> {
    const { host, failureDomain } = contact;
    try {
      const { dispatcher } = this.#connect(contact);
      const { statusCode, body } = await dispatcher.request({
        method: "GET",
        path: "/",
        headers: handoverProtocol.buildQuestionHeaders(contact),
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      const text = await utils.readBoundedText(body, MAX_REPORT_BYTES);
      const report = handoverProtocol.parseLinkReport(text ?? "");
      if (statusCode !== 200 || report === undefined) return undefined;
      const { targets, queued } = report;
      if (targets.length === 0) return undefined;
      return { host, failureDomain, targets, queued };
    } catch (thrown) {
      const message = utils.getErrorMessage(thrown);
      this.#options.log.debug({ peer: host, message }, "No answer.");
      return undefined;
    }
  }

  #setPeers(peers: readonly core.PeerHost[]): void {
    if (this.#closed) return;
    if (peers.length === 0 && this.#peers.length === 0) return;
    if (peers.length === 0 || this.#peers.length === 0) {
      this.#options.log.info(
        { peers: peers.map(({ host }) => host) },
        peers.length === 0
          ? "No host takes requests."
          : "A host takes requests.",
      );
    }
    this.#peers = peers;
    this.#options.dispatch.send({ kind: "peers_changed", peers });
  }

  #connect(contact: core.HostContact): service.ServerConnections {
    const known = this.#connections.get(contact.secret);
    if (known !== undefined) return known;
    const connections = service.createServerConnections(
      `http://${contact.address}`,
      { connections: MAX_CONNECTIONS, clock: this.#options.clock },
    );
    this.#connections.set(contact.secret, connections);
    return connections;
  }
}
