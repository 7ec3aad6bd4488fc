/** Authorisation and message checks that all protocols between hosts share. */
import * as trpc from "@trpc/server";
import * as z from "zod";

/** Context of a call; `trusted` if the caller has sent an accepted secret. */
export interface PeerContext {
  readonly trusted: boolean;
}

const server = trpc.initTRPC.context<PeerContext>().create();

/** Builds a router from procedures. */
export const buildProcedures = server.router;

/** Base procedure, which rejects callers that have not sent an accepted secret. */
export const procedure = server.procedure.use(({ ctx, next }) => {
  if (!ctx.trusted) throw new trpc.TRPCError({ code: "UNAUTHORIZED" });
  return next();
});

/**
 * Accepts any object as a message. The fields are not checked, because both ends
 * run the same program.
 *
 * @example
 * procedure.input(accept<Heartbeat>()).mutation(({ input }) => takeHeartbeat(input));
 */
export function accept<Message>(): z.ZodType<Message> {
  return z.custom<Message>((value) =>
    typeof value === "object" && value !== null
  );
}
