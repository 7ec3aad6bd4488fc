/** The platform's interface for usage reports. */
export * from "./client.ts";
export * from "./reporter.ts";
