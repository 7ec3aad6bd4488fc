/** Client of the key-value store through the etcd v3 JSON gateway, with the leases, claims and logs kept in it. */
export * from "./call_limits.ts";
export * from "./claims.ts";
export * from "./client.ts";
export * from "./config_store.ts";
export * from "./counted_client.ts";
export * from "./entry_intake.ts";
export * from "./prefix_watch.ts";
export * from "./lease_holder.ts";
export * from "./prefix_cache.ts";
export * from "./etcd_messages.ts";
