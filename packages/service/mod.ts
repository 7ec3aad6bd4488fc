/** Plain services, and requests that are passed on to a server as they came. */
export * from "./client.ts";
export * from "./connections.ts";
export * from "./event_blocks.ts";
export * from "./forward.ts";
export * from "./silence_watch.ts";
