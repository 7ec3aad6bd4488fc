/** Metrics of the process, with a bounded number of label values. */
import * as prom from "prom-client";

/** Maximum number of customers with a label of their own; all further customers share one label. */
const MAX_CUSTOMER_LABELS = 1_600;
const OTHER_CUSTOMERS = "other";

/** Bucket bounds of latencies per class, in seconds. */
const LATENCY_BUCKETS_S = [
  0.005,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  1.3,
  2.5,
  5,
  10,
  30,
];
/** Bucket bounds of the time between tokens, in seconds. */
const TOKEN_GAP_BUCKETS_S = [
  0.005,
  0.01,
  0.02,
  0.03,
  0.039,
  0.05,
  0.1,
  0.25,
  1,
];
/** Bucket bounds per customer, in seconds. There are few of them because each customer adds a time series per bucket. */
const CUSTOMER_LATENCY_BUCKETS_S = [0.1, 0.5, 1.3, 5, 30];

/** Bucket bounds of the time to the first event divided by the expected time. */
const FIRST_TOKEN_ERROR_BUCKETS = [0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10];
/** Weight of a new measurement in the mean time for which a service prefills a token. */
const PREFILL_TIME_WEIGHT = 0.05;

/** Time to the first event of an attempt at an engine. */
export interface MeasuredFirstToken {
  readonly service: string;
  readonly firstTokenMs: number;
  /** Prompt tokens that an engine of mean speed was expected to prefill in this time. */
  readonly expectedTokens: number;
}

/** Measurements of a request that was answered. */
export interface FinishedRequest {
  readonly className: string;
  readonly customer: string;
  readonly queueMs: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Mean time between tokens; 0 if the answer has fewer than two tokens. */
  readonly betweenTokensMs: number;
  readonly withinTarget: boolean;
}

/** Registry of the process's metrics and the methods that record them. */
export class Metrics {
  readonly registry = new prom.Registry();
  readonly #customers = new Set<string>();
  /** Mean time per prompt token until the first event, in ms, by service. */
  readonly #prefillMs = new Map<string, number>();
  readonly #queue = this.#createHistogram(
    "banyangrade_queue_seconds",
    "Time from arrival to the first start.",
  );
  readonly #firstToken = this.#createHistogram(
    "banyangrade_first_token_seconds",
    "Time from arrival to the first token, or to a plain service's answer.",
  );
  readonly #total = this.#createHistogram(
    "banyangrade_total_seconds",
    "Time from arrival to the end of the answer.",
  );
  readonly #betweenTokens = new prom.Histogram({
    name: "banyangrade_between_tokens_seconds",
    help: "Mean time between the tokens of an answer.",
    labelNames: ["class"],
    buckets: TOKEN_GAP_BUCKETS_S,
    registers: [this.registry],
  });
  readonly #customerTotal = new prom.Histogram({
    name: "banyangrade_customer_total_seconds",
    help: "Time from arrival to the end of the answer, per customer.",
    labelNames: ["customer"],
    buckets: CUSTOMER_LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly #firstTokenError = new prom.Histogram({
    name: "banyangrade_first_token_error_ratio",
    help:
      "Time to an attempt's first event divided by the expected time, at services whose engines differ in speed.",
    buckets: FIRST_TOKEN_ERROR_BUCKETS,
    registers: [this.registry],
  });
  readonly #requests = this.#createCounter(
    "banyangrade_requests_total",
    "Answered requests by whether they met their class's target.",
    ["class", "attained"],
  );
  readonly #refusals = this.#createCounter(
    "banyangrade_refusals_total",
    "Refusals by code and by whether anything ran.",
    ["code", "ran"],
  );
  readonly #attemptFailures = this.#createCounter(
    "banyangrade_attempt_failures_total",
    "Attempts that brought no whole answer, by kind.",
    ["failure"],
  );
  readonly #brittleFailures = this.#createCounter(
    "banyangrade_brittle_failures_total",
    "Attempts at brittle servers that brought no whole answer, by kind; connection_lost is a crash or a cut.",
    ["failure"],
  );
  readonly #callersLeft = this.#createCounter(
    "banyangrade_callers_left_total",
    "Callers that left before their answer was whole, by what their request did.",
    ["stage"],
  );
  readonly #serverSignals = this.#createCounter(
    "banyangrade_server_signals_total",
    "Changes of what backend servers say about the requests that they accept.",
    ["signal"],
  );
  readonly #startupWaits = this.#createCounter(
    "banyangrade_startup_waits_total",
    "Requests that waited for the first state of a host that had just started, by outcome.",
    ["outcome"],
  );
  readonly #recalls = this.#createCounter(
    "banyangrade_recalls_total",
    "Starts of this host, by who told it what other hosts knew.",
    ["source"],
  );
  readonly #storeCalls = this.#createCounter(
    "banyangrade_store_calls_total",
    "Calls to the store by kind and outcome.",
    ["call", "outcome"],
  );
  readonly #invalidEntries = this.#createCounter(
    "banyangrade_invalid_entries_total",
    "Versions of entries in the store that this host cannot use, by what they should have described.",
    ["kind"],
  );
  readonly #closedClients = this.#createCounter(
    "banyangrade_closed_connections_total",
    "Connections of clients that were refused or closed by a limit, by port and reason.",
    ["listener", "reason"],
  );
  readonly #acceptedClients = this.#createCounter(
    "banyangrade_accepted_connections_total",
    "Connections of clients that were accepted, by port.",
    ["listener"],
  );
  readonly #unreadClients = this.#createCounter(
    "banyangrade_unread_connections_total",
    "Connections of clients that were closed before a byte of them was read, by port.",
    ["listener"],
  );
  readonly #unexpectedErrors = this.#createCounter(
    "banyangrade_unexpected_errors_total",
    "Exceptions that no step foresees, by the step that threw; each is a fault of this program.",
    ["step"],
  );
  readonly #attemptsMoved = this.#createCounter(
    "banyangrade_attempts_moved_total",
    "Attempts that were stopped in an ejected failure domain and started elsewhere.",
    [],
  );
  readonly #handovers = this.#createCounter(
    "banyangrade_handovers_total",
    "Requests that this host sent to other hosts because its links were lost or they send to brittle servers, that these declined or lost, and that it took from other hosts.",
    ["outcome"],
  );
  readonly #streamsResumed = this.#createCounter(
    "banyangrade_streams_resumed_total",
    "Attempts that go on with a stream, by who takes it up and by whether the server has the software version that began it.",
    ["by", "version"],
  );
  readonly #originLookups = this.#createCounter(
    "banyangrade_origin_lookups_total",
    "Streams that callers took up, by whether the software version that began them is known.",
    ["outcome"],
  );
  readonly #linkChanges = this.#createCounter(
    "banyangrade_link_changes_total",
    "Times at which this host lost its links to the backend servers or had them again.",
    ["change"],
  );
  readonly #suspectChanges = this.#createCounter(
    "banyangrade_suspect_changes_total",
    "Requests and parts of prompts that were in flight at lost servers, by what became of the suspicion.",
    ["change"],
  );
  readonly #suspectMessages = this.#createCounter(
    "banyangrade_suspect_messages_total",
    "Messages by which hosts tell each other at once of requests at lost servers, beside their statuses.",
    ["direction"],
  );
  readonly #requestsToEjected = this.#createCounter(
    "banyangrade_requests_to_ejected_servers_total",
    "Attempts sent to ejected servers because no other server was in use.",
    [],
  );
  readonly #tokens = this.#createCounter(
    "banyangrade_tokens_total",
    "Tokens by whether they were billed or wasted.",
    ["use"],
  );

  constructor() {
    prom.collectDefaultMetrics({ register: this.registry });
  }

  recordFinished(finished: FinishedRequest): void {
    const label = { class: finished.className };
    this.#queue.observe(label, finished.queueMs / 1_000);
    this.#firstToken.observe(label, finished.firstTokenMs / 1_000);
    this.#total.observe(label, finished.totalMs / 1_000);
    if (finished.betweenTokensMs > 0) {
      this.#betweenTokens.observe(label, finished.betweenTokensMs / 1_000);
    }
    this.#customerTotal.observe(
      { customer: this.#getCustomerLabel(finished.customer) },
      finished.totalMs / 1_000,
    );
    const attained = finished.withinTarget ? "yes" : "no";
    this.#requests.inc({ ...label, attained });
  }

  /**
   * Compares the time to the first event of an attempt with the expected time: the
   * prompt tokens by which its engine was chosen, times the service's mean time per
   * token so far. The first measurement of a service only sets this mean.
   */
  recordFirstToken(
    { service, firstTokenMs, expectedTokens }: MeasuredFirstToken,
  ): void {
    if (expectedTokens <= 0 || firstTokenMs <= 0) return;
    const tokenMs = firstTokenMs / expectedTokens;
    const mean = this.#prefillMs.get(service);
    if (mean !== undefined) this.#firstTokenError.observe(tokenMs / mean);
    const change = PREFILL_TIME_WEIGHT * (tokenMs - (mean ?? tokenMs));
    this.#prefillMs.set(service, (mean ?? tokenMs) + change);
  }

  recordRefusal(
    refusal: { readonly code: string; readonly ran: string },
  ): void {
    this.#refusals.inc({ code: refusal.code, ran: refusal.ran });
  }

  recordAttemptFailure(failure: string): void {
    this.#attemptFailures.inc({ failure });
  }

  recordBrittleFailure(failure: string): void {
    this.#brittleFailures.inc({ failure });
  }

  recordCallerLeft(stage: string): void {
    this.#callersLeft.inc({ stage });
  }

  recordServerSignal(signal: string): void {
    this.#serverSignals.inc({ signal });
  }

  recordStartupWait(outcome: "served" | "refused" | "left"): void {
    this.#startupWaits.inc({ outcome });
  }

  recordRecall(source: "relay" | "others" | "nobody"): void {
    this.#recalls.inc({ source });
  }

  recordStoreCall(
    ended: { readonly call: string; readonly outcome: string },
  ): void {
    this.#storeCalls.inc({ call: ended.call, outcome: ended.outcome });
  }

  recordHandover(outcome: "sent" | "declined" | "lost" | "taken"): void {
    this.#handovers.inc({ outcome });
  }

  recordStreamResumed(resumed: {
    readonly by: "host" | "caller";
    readonly version: "same" | "other" | "unknown";
  }): void {
    this.#streamsResumed.inc(resumed);
  }

  recordOriginLookup(outcome: "known" | "unknown"): void {
    this.#originLookups.inc({ outcome });
  }

  recordLinksChanged(change: "lost" | "restored"): void {
    this.#linkChanges.inc({ change });
  }

  recordSuspectChanges(change: string, count: number): void {
    this.#suspectChanges.inc({ change }, count);
  }

  recordSuspectMessage(direction: "sent" | "taken"): void {
    this.#suspectMessages.inc({ direction });
  }

  recordInvalidEntry(kind: string): void {
    this.#invalidEntries.inc({ kind });
  }

  recordClosedConnection(listener: string, reason: string): void {
    this.#closedClients.inc({ listener, reason });
  }

  recordAcceptedConnection(listener: string): void {
    this.#acceptedClients.inc({ listener });
  }

  recordUnreadConnection(listener: string): void {
    this.#unreadClients.inc({ listener });
  }

  recordUnexpectedError(step: string): void {
    this.#unexpectedErrors.inc({ step });
  }

  recordAttemptMoved(): void {
    this.#attemptsMoved.inc();
  }

  recordRequestToEjected(): void {
    this.#requestsToEjected.inc();
  }

  recordTokens(use: "billed" | "wasted", tokens: number): void {
    this.#tokens.inc({ use }, tokens);
  }

  /** Adds a gauge whose value is read whenever the metrics are collected. */
  addGauge(
    name: string,
    { help, read }: { readonly help: string; readonly read: () => number },
  ): void {
    new prom.Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Adds a gauge with one label, whose values by label value are read whenever the metrics are collected. */
  addLabelledGauge<Label extends string>(
    name: string,
    { help, label, read }: {
      readonly help: string;
      readonly label: Label;
      readonly read: () => Readonly<Record<string, number>>;
    },
  ): void {
    new prom.Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect() {
        Object.entries(read()).forEach(([value, count]) =>
          this.labels(value).set(count)
        );
      },
    });
  }

  #getCustomerLabel(customer: string): string {
    if (this.#customers.has(customer)) return customer;
    if (this.#customers.size >= MAX_CUSTOMER_LABELS) return OTHER_CUSTOMERS;
    this.#customers.add(customer);
    return customer;
  }

  #createHistogram(name: string, help: string): prom.Histogram<"class"> {
    return new prom.Histogram({
      name,
      help,
      labelNames: ["class"],
      buckets: LATENCY_BUCKETS_S,
      registers: [this.registry],
    });
  }

  #createCounter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): prom.Counter<Label> {
    return new prom.Counter({
      name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }
}
