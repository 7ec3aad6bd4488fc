/** Operator commands: service files and publication of the configuration. */
export * from "./publish.ts";
export * from "./service_file.ts";
