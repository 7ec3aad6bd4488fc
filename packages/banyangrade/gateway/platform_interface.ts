/**
 * Interfaces to a deployment's platform. An adapter implements them; it translates
 * names and formats and contains no decisions.
 */
import type * as http from "node:http";
import type * as core from "@banyangrade/core";
import type * as service from "@banyangrade/service";
import type * as store from "@banyangrade/store";
import type * as usage from "@banyangrade/usage";
import type * as utils from "@banyangrade/utils";

/** HTTP headers as Node.js provides them, with names in lower case. */
export type Headers = http.IncomingHttpHeaders;

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Fields of a request that are read from the caller's headers. */
export interface RequestHead {
  /** Identifier that the caller gave this attempt of its request; undefined if it is missing. */
  readonly requestId: string | undefined;
  /** Time for which the caller waits, in ms; undefined if not given. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  /** Identifier of the caller's attempt that brought the first event of the stream; undefined unless the caller takes a stream up. */
  readonly resumes: string | undefined;
  readonly promptTokens: number;
  /** Largest number of tokens to generate. */
  readonly maxTokens: number;
  /** Parts of the prompt in order; the last one belongs to this request alone. */
  readonly parts: readonly PromptPart[];
}

/** Fields that an attempt sends to its backend server in addition to the caller's headers. */
export interface AttemptHead {
  /** Time that remains until the caller's deadline, in ms. */
  readonly deadlineMs: number;
  readonly customer: string | undefined;
  /** Identifier of the addressed server; a server with another identifier refuses the attempt. */
  readonly instance: string;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  /** Priority tier; 1 is the highest. Undefined for services without one. */
  readonly tier: number | undefined;
  /** IP address and port of an engine from which the cached beginning of the prompt may be fetched. */
  readonly promptSource: string | undefined;
}

/** Header names and formats of the messages of callers and backend servers. */
export interface WireFormat {
  readonly readRequestHead: (headers: Headers) => RequestHead;
  readonly buildAttemptHeaders: (head: AttemptHead) => Record<string, string>;
  /** Builds the headers of a request that is handed to another host, from those of the caller. */
  readonly buildHandoverHeaders: (
    headers: Headers,
    options: {
      /** Identifier of the last event that the caller has; -1 before the first. */
      readonly lastEventId: number;
    },
  ) => Record<string, string | string[]>;
  readonly readResponseMetadata: service.ForwardCall["readResponseMetadata"];
  /** Headers that only the host may set; they are dropped from callers' requests. */
  readonly reserved: ReadonlySet<string>;
  /** Path of the readiness endpoint for the platform's load balancer. */
  readonly readinessPath: string;
}

/** An order for the size of a service in one failure domain. */
export interface ScalingOrder {
  readonly service: string;
  readonly failureDomain: string;
  /** Whether the order is for reclaimable (spot) servers. */
  readonly spot: boolean;
  readonly count: number;
  readonly fencingToken: number;
}

/** The platform's services. */
export interface Platform {
  readonly store: store.KeyValueClient & store.FeedClient;
  /** Key prefix of all entries that operators write. */
  readonly operatorPrefix: string;
  /** Key of the operators' configuration. */
  readonly configurationKey: string;
  /** Key prefix of evacuations; the name of the failure domain follows. */
  readonly evacuationPrefix: string;
  /** Key prefix under which backend servers register themselves. */
  readonly serversPrefix: string;
  /** Decodes the operators' configuration; the error names the invalid field. */
  readonly parseConfiguration: (
    value: string,
  ) => utils.Result<core.RoutingConfiguration, string>;
  /** Decodes a server's entry; the error says what is invalid. */
  readonly parseServer: (
    entry: store.StoreEntry,
  ) => utils.Result<core.ListedServer, string>;
  readonly usage: usage.UsageClient;
  readonly sendOrder: (
    order: ScalingOrder,
  ) => Promise<utils.Result<unknown, utils.StepError>>;
  readonly wire: WireFormat;
}

/** Settings of a host that serves requests by the operators' routes. Times in ms. */
export interface GatewaySettings {
  readonly host: string;
  readonly failureDomain: string;
  /** All failure domains of the deployment. */
  readonly failureDomains: readonly string[];
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  /** Address at which other hosts reach this one; undefined if each host follows the store directly. */
  readonly peerAddress: string | undefined;
  /** Rate of this host's network link, in Mbit/s; undefined if it is not limited. */
  readonly linkMbps: number | undefined;
  /** Address at which metrics are served; undefined to serve none. */
  readonly metricsAddress: string | undefined;
  readonly retries: core.RetryBound;
  /** Time after which a withdrawn key must not start any attempt. */
  readonly withdrawMs: number;
  /** Limit on requests to a cold server; undefined for no limit. */
  readonly coldBound: core.ColdBound | undefined;
  /** Time after which a leaving server must get no more requests. */
  readonly leaveMs: number;
  readonly leaseMs: number;
  readonly usageWindowMs: number;
  /** Time after a window's end by which its report is due. */
  readonly usageDueMs: number;
  /** Limit of the bytes held for callers and servers that read slowly; undefined if they are only counted, as the memory is not known. */
  readonly heldBytesLimit: number | undefined;
  /** Limits of what clients make this host hold. */
  readonly clients: core.ClientLimits;
  /** Whether callers and servers may read slowly. */
  readonly slowReaders: boolean;
  /** Grace period of a planned stop. */
  readonly graceMs: number;
  /** Control roles that the deployment uses. */
  readonly roles: readonly ControlRole[];
}

/** Work that a single host does for the whole deployment. */
export type ControlRole = "usage" | "orders";
