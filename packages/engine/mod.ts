/** HTTP client for model engines: streaming, cancellation, stream resumption and load reports. */
export * from "./client.ts";
export * from "./load.ts";
