/** What a host's dispatcher is told, and what it asks the host to do. */
import type * as config from "./config.ts";
import type * as request from "./request.ts";

/** How an attempt ended other than with a whole answer. */
export type AttemptFailure =
  /** No byte of the request left this host. */
  | "not_sent"
  /** The backend server said that it did not run it. */
  | "refused"
  /** The connection broke after the first byte was sent. */
  | "connection_lost"
  /** The backend server answered with an error of its own. */
  | "server_error"
  /** No answer in time. */
  | "timeout"
  /** The answer carried another request's identifier. */
  | "crossed";

/** A backend server as the fleet and the configuration describe it. */
export interface ServerInfo {
  readonly name: string;
  readonly pool: string;
  readonly url: string;
  readonly state: "live" | "leaving";
  /** Its slots, where servers of one pool differ. @default the pool's */
  readonly slots?: number;
  /** Most requests that this host may give it at a time: as many as it opens connections. @default any number */
  readonly ownLimit?: number;
  /** Where it stands, in pools that reach over failure domains. */
  readonly failureDomain?: string;
  /** The identity that it is asked to confirm, where it can. */
  readonly instance?: string;
  /** Time for which it is taken to stay cold, in ms. @default 0 */
  readonly coldMs?: number;
}

/** What an engine says of its own load; arrives with a lag. */
export interface LoadReport {
  readonly server: string;
  readonly running: number;
  readonly waiting: number;
  /** Free share of its prefix cache, in [0, 1]. */
  readonly cacheFree: number;
}

/** How many requests a server runs, as far as some host or hosts know. */
export interface ServerCount {
  readonly server: string;
  readonly running: number;
}

/** Demand of one host for one pool, for the failure domain's allocator. */
export interface PoolDemand {
  readonly pool: string;
  /** Only classes that run or wait. */
  readonly classes: readonly ClassDemand[];
  /** Servers whose other work this host wants to know, and its own there. */
  readonly servers: readonly ServerCount[];
}

/** Demand of one class. */
export interface ClassDemand {
  readonly className: string;
  readonly tier: number;
  readonly running: number;
  readonly queued: number;
}

/** How many requests of a tier. */
export interface TierCount {
  readonly tier: number;
  readonly count: number;
}

/** Slots of one class at one host. */
export interface ClassSlots {
  readonly className: string;
  readonly slots: number;
}

/** What a host may run in one pool, as the failure domain's allocator granted it. */
export interface Grant {
  readonly pool: string;
  /**
   * Classes that are held back, and the requests of each that this host may run
   * at one time. Classes that are not listed are not short of slots.
   */
  readonly limits: readonly ClassSlots[];
  /** Lowest tier (largest number) running beyond its guaranteed share on other hosts; 0 if none. */
  readonly lowestTierElsewhere: number;
  /** Requests queued on other hosts, by tier. */
  readonly queuedElsewhere: readonly TierCount[];
  /** Classes that got fewer slots than this host asked for. */
  readonly short: readonly string[];
  /** Tiers below this number's priority are to be stopped while over the grant; 0 if none. */
  readonly recallForTier: number;
  /** What other hosts run on the servers that this host asked about. */
  readonly runningElsewhere: readonly ServerCount[];
}

/** The part of a grant that follows from the division of a pool's slots. */
export type PoolGrant = Omit<Grant, "runningElsewhere">;

/** A server that was lost while it ran a request with this fingerprint. */
export interface SuspectMark {
  readonly fingerprint: string;
  readonly server: string;
}

/** Something that happened. */
export type DispatchEvent =
  | { readonly kind: "arrived"; readonly request: request.Request }
  | { readonly kind: "cancelled"; readonly requestId: string }
  | {
    readonly kind: "progressed";
    readonly requestId: string;
    readonly attempt: number;
    readonly tokens: number;
  }
  | {
    readonly kind: "finished";
    readonly requestId: string;
    readonly attempt: number;
    readonly tokens: number;
  }
  | {
    readonly kind: "failed";
    readonly requestId: string;
    readonly attempt: number;
    readonly failure: AttemptFailure;
    /** Bytes of the answer already passed to the caller cannot be taken back. */
    readonly answerStarted: boolean;
    /** Whether the attempt can be resumed at the offset reached. */
    readonly resumable: boolean;
  }
  | { readonly kind: "load_reported"; readonly report: LoadReport }
  | {
    /** What all other hosts run, by server; none is left out. */
    readonly kind: "load_shared";
    readonly running: Readonly<Record<string, number>>;
    /** Prompt tokens of all other hosts that each has not yet read. */
    readonly prompting: Readonly<Record<string, number>>;
    /** How many hosts there are, this one included. */
    readonly hosts: number;
    readonly asOf: number;
  }
  | {
    readonly kind: "servers_changed";
    readonly servers: readonly ServerInfo[];
  }
  | {
    /** Live hosts of this failure domain, this one included. */
    readonly kind: "hosts_changed";
    readonly hosts: readonly string[];
  }
  | {
    readonly kind: "configured";
    readonly configuration: config.Configuration;
  }
  | {
    readonly kind: "granted";
    readonly grants: readonly Grant[];
    readonly asOf: number;
  }
  | { readonly kind: "grants_lost" }
  | {
    /** Another failure domain's answer to this host's demand; none if it gave none. */
    readonly kind: "overflow_granted";
    readonly failureDomain: string;
    readonly grants: readonly Grant[];
    /** Servers there that this host may use. */
    readonly servers: readonly ServerInfo[];
    readonly asOf: number;
  }
  | {
    /** Servers were lost with these requests in flight, here or at another host. */
    readonly kind: "suspected";
    readonly marks: readonly SuspectMark[];
  }
  | { readonly kind: "cleared"; readonly fingerprints: readonly string[] }
  | { readonly kind: "key_withdrawn"; readonly keyId: string }
  | { readonly kind: "draining" }
  | { readonly kind: "ticked" };

/** Something the host must do. */
export type DispatchEffect =
  | {
    readonly kind: "start";
    readonly request: request.Request;
    readonly attempt: number;
    readonly server: ServerInfo;
    /** An engine that may hold the beginning of its prompt. */
    readonly source?: ServerInfo;
    /** Tokens the caller already has; the engine resumes behind them. */
    readonly offset: number;
  }
  | {
    readonly kind: "stop";
    readonly requestId: string;
    readonly attempt: number;
    readonly reason: "caller_left" | "preempted" | "key_withdrawn" | "evicted";
  }
  | {
    readonly kind: "refuse";
    readonly requestId: string;
    readonly refusal: request.Refusal;
  }
  /** A server was lost while it ran this request. */
  | { readonly kind: "suspect"; readonly mark: SuspectMark }
  /** Demand changed so much that the allocator should hear of it now. */
  | { readonly kind: "ask_capacity" };
