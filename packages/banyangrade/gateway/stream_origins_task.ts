/**
 * Shares with the other hosts which software versions began the streams of this
 * host, and finds out which one began a stream that a caller takes up here. A host
 * sends its streams to the relay of its failure domain, which sends them to two
 * other relays. Nothing is sent while one version has served alone for the life of
 * a stream.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as metrics from "../metrics.ts";
import type * as relayTask from "./relay_task.ts";
import type * as savedOrigins from "./saved_origins.ts";

/** Time for which streams are collected before they are sent, in ms; shorter than most streams last. */
const FLUSH_MS = 50;
/** Time after which streams that no relay took are sent again, in ms. */
const RETRY_MS = 500;
/** Number of other relays to which a relay sends the streams of its failure domain. */
const COPIES = 2;
/** Time for which a relay that did not answer is not asked again, in ms; one of an earlier build never answers. */
const BACKOFF_MS = 5_000;
/** Largest number of relays that are remembered as not answering. */
const MAX_BACKOFFS = 64;
/** Time for which a relay may wait for the other relays, in ms. */
const FORWARD_WAIT_MS = 300;
/** Interval at which a host that has just started asks for how long one version has served alone, in ms. */
const ASK_VIEWS_MS = 2_000;
/** A stream that no caller began. */
const NO_STREAM = -1;

/** Options of {@link StreamOriginsTask}. */
export interface StreamOriginsOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly metrics: Pick<metrics.Metrics, "recordOriginLookup">;
  readonly versions: core.SoftwareVersions;
  /** Whether the list of servers is current. */
  readonly isFresh: () => boolean;
  readonly relay: Pick<
    relayTask.RelayTask,
    "callContact" | "getContact" | "getFollowed"
  >;
  /** Lists the other relays, at a relay. */
  readonly listRelays: () => readonly store.RoleContact[];
  /** Keeps streams in the store. */
  readonly saved: Pick<
    savedOrigins.SavedOrigins,
    "add" | "start" | "stop" | "waitForRead"
  >;
}

/** A stream that a caller takes up. */
export interface TakenStream {
  /** Identifier of the attempt that brought its first event; undefined if the caller names none. */
  readonly attemptId: string | undefined;
  readonly service: string;
}

/** Knows which software versions began streams. */
export class StreamOriginsTask {
  readonly #options: StreamOriginsOptions;
  readonly #origins = new core.StreamOrigins();
  /** Streams of followers that are not sent to other relays yet. */
  #copies: core.OriginRecord[] = [];
  /** Other relays, as the relay of this host last named them. */
  #relays: readonly store.RoleContact[] = [];
  /** Time until which a relay is not called, by its secret. */
  readonly #backoffs = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #asking: NodeJS.Timeout | undefined;
  #stopped = false;
  /** Views that hosts published before this one started. */
  #published: readonly core.PublishedViews[] = [];

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
  }

  start(): void {
    const { log, saved } = this.#options;
    saved.start();
    const onError = utils.createErrorLog(log, "origins.askViews");
    this.#asking = setInterval(
      () => utils.runDetached(() => this.#askViews(), onError),
      ASK_VIEWS_MS,
    );
  }

  stop(): void {
    this.#stopped = true;
    this.#options.saved.stop();
    clearTimeout(this.#timer);
    clearInterval(this.#asking);
  }

  /** Records the version that began a stream. */
  record(
    { attemptId, service, software }: {
      readonly attemptId: string;
      readonly service: string;
      readonly software: string;
    },
  ): void {
    const stream = core.hashStream(attemptId);
    this.#origins.record([stream, software], this.#options.clock.now());
    if (this.#describe(service).kind !== "single") this.#scheduleFlush();
  }

  /** Shares the streams that this host began before versions differed. */
  recordVersions(services: readonly string[]): void {
    const differs = services.some((service) =>
      this.#describe(service).kind !== "single"
    );
    if (differs) this.#scheduleFlush();
  }

  /** Describes the versions of all services, to publish. */
  describeVersions(): core.PublishedViews {
    const { versions, clock, isFresh } = this.#options;
    return versions.describeAll({ now: clock.now(), fresh: isFresh() });
  }

  /** Takes over the views that hosts published before this one started; the first ones that it reads count. */
  acceptPublished(published: readonly core.PublishedViews[]): void {
    if (this.#published.length === 0) this.#published = published;
    this.#applyPublished();
  }

  #applyPublished(): void {
    const { versions, clock } = this.#options;
    versions.acceptPublished(this.#published, clock.now());
  }

  /** Finds the version at which a stream may go on. */
  async find(
    { attemptId, service }: TakenStream,
  ): Promise<core.StreamVersion> {
    const found = attemptId === undefined
      ? await this.#askVersions({ stream: NO_STREAM, service })
      : await this.#findStream({ stream: core.hashStream(attemptId), service });
    this.#options.metrics.recordOriginLookup(found.kind);
    return found;
  }

  /** Stores the streams that relays had written to the store. */
  acceptSaved(origins: readonly core.OriginRecord[]): void {
    this.#origins.accept(origins, this.#options.clock.now());
  }

  countStreams(): number {
    return this.#origins.countStreams();
  }

  /** Stores the streams that a host or another relay sends. */
  acceptShare({ origins, isCopy }: peer.OriginShare): peer.OriginShareResponse {
    this.#origins.accept(origins, this.#options.clock.now());
    if (!isCopy) {
      this.#copies.push(...origins);
      this.#scheduleFlush();
    }
    return { relays: this.#options.listRelays() };
  }

  /** Answers the question of another host. */
  async answer(question: peer.OriginQuestion): Promise<peer.OriginResponse> {
    const { stream, service, isForwarded } = question;
    await this.#options.saved.waitForRead();
    const relays = this.#options.listRelays();
    const software = this.#origins.find(stream);
    const own = this.#describe(service);
    if (software !== undefined || isForwarded || relays.length === 0) {
      return {
        ...(software !== undefined && { software }),
        views: [own],
        relays,
      };
    }
    const answers = await this.#askAll(relays, question);
    // This relay may be cut off from the others, and from the store since less time
    // than it takes to notice.
    const view: core.VersionView = answers.length === 0
      ? { kind: "unsure" }
      : own;
    return mergeAnswers([{ views: [view], relays }, ...answers]);
  }

  #describe(service: string): core.VersionView {
    const { versions, clock, isFresh } = this.#options;
    return versions.describe(service, { now: clock.now(), fresh: isFresh() });
  }

  async #findStream(
    question: Pick<peer.OriginQuestion, "stream" | "service">,
  ): Promise<core.StreamVersion> {
    await this.#options.saved.waitForRead();
    const software = this.#origins.find(question.stream);
    return software === undefined
      ? await this.#askVersions(question)
      : { kind: "known", software };
  }

  async #askVersions(
    { stream, service }: Pick<peer.OriginQuestion, "stream" | "service">,
  ): Promise<core.StreamVersion> {
    const contacts = this.#listContacts();
    const answers = await this.#ask(contacts, { stream, service });
    const { software, views } = mergeAnswers(answers);
    if (software !== undefined) {
      this.#origins.accept([[stream, software]], this.#options.clock.now());
      return { kind: "known", software };
    }
    const own = this.#describe(service);
    const asked = contacts.length > 0;
    const decided = core.resolveVersion({ own, others: views, asked });
    if (decided.kind === "known" && own.kind === "young") {
      this.#options.versions.acceptView(service, decided.software);
    }
    return decided;
  }

  /** Lists the relays to call: all others at a relay, otherwise the own one first. */
  #listContacts(): readonly store.RoleContact[] {
    const { relay, listRelays } = this.#options;
    if (relay.getContact() !== undefined) return listRelays();
    const own = relay.getFollowed()?.contact;
    return own === undefined ? this.#relays : [own, ...this.#relays];
  }

  /** Asks all relays as a relay; otherwise the first one that answers, which asks the others. */
  async #ask(
    contacts: readonly store.RoleContact[],
    question: Pick<peer.OriginQuestion, "stream" | "service">,
  ): Promise<readonly peer.OriginResponse[]> {
    if (this.#options.relay.getContact() !== undefined) {
      return await this.#askAll(contacts, question);
    }
    for (const contact of contacts) {
      const answer = await this.#call(contact, {
        step: "relay.findOrigin",
        waitMs: FORWARD_WAIT_MS,
        run: (client, signal) =>
          client.findOrigin.query({ ...question, isForwarded: false }, {
            signal,
          }),
      });
      if (answer === undefined) continue;
      this.#recordRelays(contact, answer.relays);
      return [answer];
    }
    return [];
  }

  async #askAll(
    relays: readonly store.RoleContact[],
    { stream, service }: Pick<peer.OriginQuestion, "stream" | "service">,
  ): Promise<readonly peer.OriginResponse[]> {
    const answers = await Promise.all(
      relays.map((contact) =>
        this.#call(contact, {
          step: "relay.findOrigin",
          run: (client, signal) =>
            client.findOrigin.query({ stream, service, isForwarded: true }, {
              signal,
            }),
        })
      ),
    );
    return answers.filter((answer) => answer !== undefined);
  }

  /** Calls a relay, unless it did not answer shortly before. */
  async #call<Answer>(
    contact: store.RoleContact,
    call: relayTask.RelayCall<Answer>,
  ): Promise<Answer | undefined> {
    const { clock, relay } = this.#options;
    const until = this.#backoffs.get(contact.secret);
    if (until !== undefined && clock.now() < until) return undefined;
    const answer = await relay.callContact(contact, call);
    this.#backoffs.delete(contact.secret);
    if (answer === undefined) {
      if (this.#backoffs.size >= MAX_BACKOFFS) this.#backoffs.clear();
      this.#backoffs.set(contact.secret, clock.now() + BACKOFF_MS);
    }
    return answer;
  }

  #recordRelays(
    own: store.RoleContact,
    relays: readonly store.RoleContact[],
  ): void {
    this.#relays = relays.filter(({ secret }) => secret !== own.secret);
  }

  #scheduleFlush(delayMs = FLUSH_MS): void {
    if (this.#stopped || this.#timer !== undefined) return;
    const { log } = this.#options;
    const onError = utils.createErrorLog(log, "origins.flush");
    this.#timer = setTimeout(
      () => utils.runDetached(() => this.#runFlush(), onError),
      delayMs,
    ).unref();
  }

  /** Sends what is collected; what arrives meanwhile is sent after it. */
  async #runFlush(): Promise<void> {
    const isSent = await this.#flush().finally(() => {
      this.#timer = undefined;
    });
    const isEmpty = this.#origins.countPending() + this.#copies.length === 0;
    if (!isEmpty) this.#scheduleFlush(isSent ? FLUSH_MS : RETRY_MS);
  }

  /** Returns whether there was nothing to send or a relay took it. */
  async #flush(): Promise<boolean> {
    const pending = this.#origins.takePending();
    const copies = this.#copies;
    this.#copies = [];
    const origins = [...pending, ...copies];
    if (origins.length === 0) return true;
    const contacts = this.#listContacts();
    if (this.#options.relay.getContact() !== undefined) {
      this.#options.saved.add(origins);
      await this.#sendCopies(contacts, origins);
      return true;
    }
    for (const contact of contacts) {
      const answer = await this.#sendOrigins(contact, {
        origins,
        isCopy: false,
      });
      if (answer === undefined) continue;
      this.#recordRelays(contact, answer.relays);
      return true;
    }
    this.#origins.addPending(origins);
    return false;
  }

  async #sendCopies(
    relays: readonly store.RoleContact[],
    origins: readonly core.OriginRecord[],
  ): Promise<void> {
    let sent = 0;
    for (const contact of relays) {
      if (sent === COPIES) return;
      const answer = await this.#sendOrigins(contact, {
        origins,
        isCopy: true,
      });
      if (answer !== undefined) sent += 1;
    }
  }

  #sendOrigins(
    contact: store.RoleContact,
    share: peer.OriginShare,
  ): Promise<peer.OriginShareResponse | undefined> {
    return this.#call(contact, {
      step: "relay.shareOrigins",
      run: (client, signal) => client.shareOrigins.mutate(share, { signal }),
    });
  }

  /** Asks hosts that have run for longer which services one version has served alone. */
  async #askViews(): Promise<void> {
    const { versions, clock } = this.#options;
    // The list of servers may have arrived after the published views.
    this.#applyPublished();
    const young = versions.listYoung(clock.now());
    await Promise.all(
      young.map((service) => this.#askVersions({ stream: NO_STREAM, service })),
    );
  }
}

/** Merges the answers of several relays; one that knows the stream is enough. */
function mergeAnswers(
  answers: readonly peer.OriginResponse[],
): peer.OriginResponse {
  const known = answers.find(({ software }) => software !== undefined);
  return {
    ...(known?.software !== undefined && { software: known.software }),
    views: answers.flatMap(({ views }) => views),
    relays: answers[0]?.relays ?? [],
  };
}
