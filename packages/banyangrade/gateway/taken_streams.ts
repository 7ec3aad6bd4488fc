/** Streams that callers take up again after an attempt that broke off. */
import type * as core from "@banyangrade/core";
import type * as ingress from "./ingress.ts";
import type * as platformInterface from "./platform_interface.ts";
import type * as streamOriginsTask from "./stream_origins_task.ts";

/** A request of a caller or of another host, and the service that is to run it. */
export interface ArrivedStream {
  readonly incoming: Pick<ingress.IncomingRequest, "handover">;
  readonly head:
    & Pick<
      platformInterface.RequestHead,
      "lastEventId" | "resumes"
    >
    & { readonly requestId: string };
  readonly route: Pick<core.Route, "kind">;
  readonly service: string;
}

/**
 * Finds the software version at which a stream may go on; undefined for a request
 * that begins anew. A stream that another host began and handed over has no other
 * name than its own attempt.
 *
 * @example
 * const version = await findVersion({ streamOrigins }, { incoming, head, route, service });
 */
export async function findVersion(
  { streamOrigins }: {
    readonly streamOrigins: Pick<streamOriginsTask.StreamOriginsTask, "find">;
  },
  { incoming: { handover }, head, route, service }: ArrivedStream,
): Promise<core.StreamVersion | undefined> {
  const { lastEventId, resumes, requestId } = head;
  const isTakenUp = lastEventId >= 0 || resumes !== undefined;
  if (route.kind !== "stream" || !isTakenUp) return undefined;
  if (handover?.software !== undefined) {
    return { kind: "known", software: handover.software };
  }
  const attemptId = resumes ?? (handover && requestId);
  return await streamOrigins.find({ attemptId, service });
}

/**
 * Returns the identifier by which a stream is known to all hosts: that of the
 * attempt that brought its first event.
 *
 * @example
 * getStreamId({ requestId: "a2", resumes: "a1" }); // "a1"
 */
export function getStreamId(
  { requestId, resumes }: Pick<ArrivedStream["head"], "requestId" | "resumes">,
): string {
  return resumes ?? requestId;
}
