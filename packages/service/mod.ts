/** HTTP clients for backend servers: plain service calls and unmodified request forwarding. */
export * from "./client.ts";
export * from "./connection_trial.ts";
export * from "./connections.ts";
export * from "./event_splitter.ts";
export * from "./forward.ts";
export * from "./inactivity_watch.ts";
