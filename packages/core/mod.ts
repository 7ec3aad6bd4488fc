/** The decisions: pure, the same in the daemon, the fuzzer and the bench. */
export * from "./admission.ts";
export * from "./allocation.ts";
export * from "./billing.ts";
export * from "./config.ts";
export * from "./config_log.ts";
export * from "./dispatcher.ts";
export * from "./events.ts";
export * from "./keys.ts";
export * from "./lease.ts";
export * from "./membership.ts";
export * from "./operations.ts";
export * from "./partition.ts";
export * from "./quarantine.ts";
export * from "./refusals.ts";
export * from "./request.ts";
export * from "./retry.ts";
export * from "./scaling.ts";
export * as constants from "./constants.ts";
