/** Operators: service files, publication and keys. */
export * from "./publish.ts";
export * from "./service_file.ts";
