/**
 * Withholds requests whose server must get none any more by the time that their
 * connection is open.
 *
 * Guards against requests that reach a server after it has asked for rest or
 * started to leave: they were assigned to it before, and their connection was
 * still being opened.
 */
import type * as undici from "undici";

/** Code of the error of a request that was withheld. */
const WITHHELD = "WITHHELD";

/**
 * Whether an error is that of a request that was withheld.
 *
 * @example
 * isWithheld(thrown); // the server got nothing
 */
export function isWithheld(thrown: unknown): boolean {
  return thrown instanceof Error && "code" in thrown &&
    thrown.code === WITHHELD;
}

/**
 * Creates an interceptor that asks `maySend` right before a request is written.
 *
 * @example
 * const dispatcher = pool.compose(createSendGate(() => !resting));
 */
export function createSendGate(
  maySend: () => boolean,
): undici.Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        if (maySend()) return handler.onRequestStart?.(controller, context);
        const error = new Error("The server must get no requests now.");
        controller.abort(Object.assign(error, { code: WITHHELD }));
      },
      onResponseStart: (...values) => handler.onResponseStart?.(...values),
      onResponseData: (...values) => handler.onResponseData?.(...values),
      onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
      onResponseError: (...values) => handler.onResponseError?.(...values),
    });
}
