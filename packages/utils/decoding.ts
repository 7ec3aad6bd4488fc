/** Decodes the body of an answer: what has another form than expected is no answer. */
import type * as z from "zod";

/**
 * Returns a body in the form of a schema; throws an error that names the first field
 * of another form, however many there are.
 *
 * @example
 * const { lease } = decodeBody(z.object({ lease: z.number() }), body);
 */
export function decodeBody<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const checked = schema.safeParse(body);
  if (checked.success) return checked.data;
  const [{ path, message }] = checked.error.issues;
  throw new Error(
    `The answer has another form: ${path.join(".")}: ${message}`,
  );
}
