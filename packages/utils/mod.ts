/** Utilities that all packages share. */
export * from "./address.ts";
export * from "./backend.ts";
export * from "./bounded_body.ts";
export * from "./clock.ts";
export * from "./digest.ts";
export * from "./errors.ts";
export * from "./json.ts";
export * from "./json_client.ts";
export * from "./json_server.ts";
export * from "./log.ts";
export * from "./patient_timer.ts";
export * from "./random.ts";
export * from "./resetting_client.ts";
export * from "./result.ts";
export * from "./task.ts";
export * from "./toml_file.ts";
export * from "./unexpected_errors.ts";
