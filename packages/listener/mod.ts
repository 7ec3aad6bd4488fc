/** Bounds what clients make the HTTP servers of a process hold. */
export * from "./accept_turns.ts";
export * from "./body_buffer.ts";
export * from "./client_guard.ts";
export * from "./guarded_connection.ts";
export * from "./guarded_server.ts";
export * from "./pieces.ts";
