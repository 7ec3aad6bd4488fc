/**
 * What serving by routes needs of a deployment's platform. An adapter
 * implements these and translates names and formats; it decides nothing.
 */
import type * as http from "node:http";
import type * as core from "@banyangrade/core";
import type * as service from "@banyangrade/service";
import type * as store from "@banyangrade/store";
import type * as usage from "@banyangrade/usage";
import type * as utils from "@banyangrade/utils";

/** Headers as Node gives them: names in lower case. */
export type Headers = http.IncomingHttpHeaders;

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say. */
export interface RequestHead {
  /** Identifier of this sending; undefined if it is missing. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in ms. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  readonly promptTokens: number;
  /** Most tokens that are generated. */
  readonly maxTokens: number;
  /** Parts of the prompt in their order, the request's own last. */
  readonly parts: readonly PromptPart[];
}

/** What an attempt tells its server, beside the caller's own headers. */
export interface AttemptHead {
  /** What is left of the caller's time, in ms. */
  readonly deadlineMs: number;
  readonly customer: string | undefined;
  /** The server that is meant; any other one refuses. */
  readonly instance: string;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  /** Priority tier; 1 is the highest. Undefined for services without one. */
  readonly tier: number | undefined;
  /** IP number and port of an engine from which the beginning of the prompt may be fetched. */
  readonly promptSource: string | undefined;
}

/** Names and formats of the messages of callers and backend servers. */
export interface WireFormat {
  readonly readRequest: (headers: Headers) => RequestHead;
  readonly buildAttempt: (head: AttemptHead) => Record<string, string>;
  readonly readMarks: service.ForwardCall["readMarks"];
  /** Headers that this system sets; a caller's own are dropped. */
  readonly reserved: ReadonlySet<string>;
  /** Path that the platform's balancer asks for readiness. */
  readonly readinessPath: string;
}

/** An order for the size of a service in one failure domain. */
export interface DomainOrder {
  readonly service: string;
  readonly failureDomain: string;
  /** Whether reclaimable servers are meant. */
  readonly spot: boolean;
  readonly count: number;
  readonly fencingToken: number;
}

/** The platform's services. */
export interface Platform {
  readonly store: store.KeyValueClient & store.FeedClient;
  /** Key prefix of all that operators write. */
  readonly operatorPrefix: string;
  /** Key under which the operators' configuration lies. */
  readonly configurationKey: string;
  /** Key prefix of the failure domains to be emptied; what follows is the name of one. */
  readonly evacuationPrefix: string;
  /** Key prefix under which backend servers register themselves. */
  readonly serversPrefix: string;
  /** Decodes the operators' configuration; the error names the field. */
  readonly parseConfiguration: (
    value: string,
  ) => utils.Result<core.RoutingConfiguration, string>;
  /** Decodes a server's entry; the error says what makes it unusable. */
  readonly parseServer: (
    entry: store.StoreEntry,
  ) => utils.Result<core.ListedServer, string>;
  readonly usage: usage.UsageClient;
  readonly sendOrder: (
    order: DomainOrder,
  ) => Promise<utils.Result<unknown, utils.StepError>>;
  readonly wire: WireFormat;
}

/** Settings of a host that serves by routes. Times in ms. */
export interface RoutedSettings {
  readonly host: string;
  readonly failureDomain: string;
  /** Failure domains of the deployment. */
  readonly failureDomains: readonly string[];
  /** Region of each of them. */
  readonly regions: ReadonlyMap<string, string>;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Where other hosts reach this one; undefined if each follows the store by itself. */
  readonly peerAddress: string | undefined;
  /** Where metrics are served; undefined for nowhere. */
  readonly metricsAddress: string | undefined;
  readonly retries: core.RetryBound;
  /** Time after which a withdrawn key must not start anything. */
  readonly withdrawMs: number;
  /** Bound on what a cold server may get; undefined where there is none. */
  readonly coldBound: core.ColdBound | undefined;
  /** Time within which a leaving server must get no more work. */
  readonly leaveMs: number;
  readonly leaseMs: number;
  readonly usageWindowMs: number;
  /** Time after a window's end by which its report is due. */
  readonly usageDueMs: number;
  /** Time that a planned stop may take. */
  readonly graceMs: number;
  /** Which control roles the deployment has. */
  readonly roles: readonly ControlRole[];
}

/** Work that one host at a time does for all. */
export type ControlRole = "usage" | "orders";
