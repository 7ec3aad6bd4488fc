/** Usage reporting to the platform. */
export * from "./client.ts";
export * from "./reporter.ts";
