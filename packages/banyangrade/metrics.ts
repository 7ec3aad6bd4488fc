/** Metrics: histograms per class and per customer with bounded label sets. */
import * as prom from "prom-client";

/** Customers that get a label of their own; the others share one. */
const MAX_CUSTOMER_LABELS = 1_600;
const OTHER_CUSTOMER = "other";

const SECONDS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2.5, 5, 10, 30];
const BETWEEN_TOKENS = [0.005, 0.01, 0.02, 0.03, 0.039, 0.05, 0.1, 0.25, 1];
/** Fewer buckets, since there is a series for each customer. */
const CUSTOMER_SECONDS = [0.1, 0.5, 1.3, 5, 30];

/** One finished request. */
export interface FinishedRequest {
  readonly className: string;
  readonly customer: string;
  readonly queueMs: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** 0 where there were fewer than two tokens. */
  readonly betweenTokensMs: number;
  readonly withinTarget: boolean;
}

/** The process's metrics. */
export class Metrics {
  readonly registry = new prom.Registry();
  readonly #customers = new Set<string>();
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
    buckets: BETWEEN_TOKENS,
    registers: [this.registry],
  });
  readonly #customerTotal = new prom.Histogram({
    name: "banyangrade_customer_total_seconds",
    help: "Time from arrival to the end of the answer, per customer.",
    labelNames: ["customer"],
    buckets: CUSTOMER_SECONDS,
    registers: [this.registry],
  });
  readonly #attained = this.#createCounter(
    "banyangrade_requests_total",
    "Answered requests by whether they met their class's target.",
    ["class", "attained"],
  );
  readonly #refused = this.#createCounter(
    "banyangrade_refusals_total",
    "Refusals by code and by whether anything ran.",
    ["code", "ran"],
  );
  readonly #failures = this.#createCounter(
    "banyangrade_attempt_failures_total",
    "Attempts that brought no whole answer, by kind.",
    ["failure"],
  );
  readonly #left = this.#createCounter(
    "banyangrade_callers_left_total",
    "Callers that left before their answer was whole, by what their request did.",
    ["stage"],
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
    this.#attained.inc({ ...label, attained });
  }

  recordRefusal(
    refusal: { readonly code: string; readonly ran: string },
  ): void {
    this.#refused.inc({ code: refusal.code, ran: refusal.ran });
  }

  recordFailure(failure: string): void {
    this.#failures.inc({ failure });
  }

  recordLeft(stage: string): void {
    this.#left.inc({ stage });
  }

  recordTokens(use: "billed" | "wasted", tokens: number): void {
    this.#tokens.inc({ use }, tokens);
  }

  /** Adds a gauge that is read when the metrics are. */
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

  #getCustomerLabel(customer: string): string {
    if (this.#customers.has(customer)) return customer;
    if (this.#customers.size >= MAX_CUSTOMER_LABELS) return OTHER_CUSTOMER;
    this.#customers.add(customer);
    return customer;
  }

  #createHistogram(name: string, help: string): prom.Histogram<"class"> {
    return new prom.Histogram({
      name,
      help,
      labelNames: ["class"],
      buckets: SECONDS,
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
