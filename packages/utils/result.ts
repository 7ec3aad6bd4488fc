/** Results as values, by ts-results. */
import * as tsResults from "ts-results";

type Library = typeof tsResults;

// Node gives a CommonJS module's names under `default`; the bundler, which
// takes the package's ES module, gives them directly.
const names = tsResults as Library & { readonly default?: Library };
const library = Reflect.get(names, "default") as Library | undefined ?? names;

/** Makes a success. */
export const Ok = library.Ok;
/** Makes a failure. */
export const Err = library.Err;

/** Either a value or an error. */
export type Result<Value, Failure> = tsResults.Result<Value, Failure>;
