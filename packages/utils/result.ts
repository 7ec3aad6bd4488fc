/** Result type of ts-results. */
import * as tsResults from "ts-results";

type Library = typeof tsResults;

// Node.js loads the package's CommonJS module and exposes its exports under
// `default`; the bundler uses the ES module, which has the named exports.
const names = tsResults as Library & { readonly default?: Library };
const library = Reflect.get(names, "default") as Library | undefined ?? names;

/** Creates a success. */
export const Ok = library.Ok;
/** Creates a failure. */
export const Err = library.Err;

/** A value or an error. */
export type Result<Value, Failure> = tsResults.Result<Value, Failure>;
