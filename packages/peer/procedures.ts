/** What all protocols between hosts have in common: who may call, and how messages are checked. */
import * as trpc from "@trpc/server";
import * as z from "zod";

/** Context of a call: whether the caller proved that it is a host of ours. */
export interface PeerContext {
  readonly trusted: boolean;
}

const server = trpc.initTRPC.context<PeerContext>().create();

/** Makes a router of procedures. */
export const buildProcedures = server.router;

/** Calls by hosts that do not know the secret end here. */
export const procedure = server.procedure.use(({ ctx, next }) => {
  if (!ctx.trusted) throw new trpc.TRPCError({ code: "UNAUTHORIZED" });
  return next();
});

/**
 * Checks only that a message is an object: both ends are the same program.
 *
 * @example
 * procedure.input(accept<Beat>()).mutation(({ input }) => takeBeat(input));
 */
export function accept<Message>(): z.ZodType<Message> {
  return z.custom<Message>((value) =>
    typeof value === "object" && value !== null
  );
}
