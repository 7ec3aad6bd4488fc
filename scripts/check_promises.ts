/**
 * Checks that no promise of the product is left without a handler: Node.js ends the
 * process for a rejection that nobody handles, with all requests that it has open.
 */
import * as path from "node:path";
import * as ts from "typescript";

const ROOT = path.join(import.meta.dirname, "..");
/** Files of tests, fakes and tools, which may end with an unhandled rejection. */
const NO_PRODUCT =
  /(_test|_testing|[/\\]testing|[/\\]fake(_[a-z]+)?|host_links_process)\.ts$|[/\\]platform[/\\](soak|cost|program)[/\\]/;

/** A promise that nobody handles. */
export interface UnhandledPromise {
  readonly file: string;
  readonly line: number;
  readonly message: string;
}

/**
 * Finds the promises of a program that nobody handles.
 *
 * @example
 * findUnhandled(ts.createProgram(["host.ts"], options), () => true);
 */
export function findUnhandled(
  program: ts.Program,
  isChecked: (fileName: string) => boolean,
): UnhandledPromise[] {
  const checker = program.getTypeChecker();
  const found: UnhandledPromise[] = [];
  const visit = (file: ts.SourceFile, node: ts.Node): void => {
    const message = describeUnhandled(node, checker);
    if (message !== undefined) {
      const { line } = file.getLineAndCharacterOfPosition(node.getStart(file));
      found.push({ file: file.fileName, line: line + 1, message });
    }
    ts.forEachChild(node, (child) => visit(file, child));
  };
  program.getSourceFiles()
    .filter((file) => !file.isDeclarationFile && isChecked(file.fileName))
    .forEach((file) => visit(file, file));
  return found;
}

function describeUnhandled(
  node: ts.Node,
  checker: ts.TypeChecker,
): string | undefined {
  const isDropped = ts.isVoidExpression(node) ||
    ts.isExpressionStatement(node);
  if (isDropped && isUnhandled(node.expression, checker)) {
    return "nobody handles this promise; await it or use utils.runDetached";
  }
  const isCallback = (ts.isArrowFunction(node) ||
    ts.isFunctionExpression(node)) && ts.isCallExpression(node.parent);
  if (isCallback && hasIgnoredPromise(node, checker)) {
    return "the caller ignores this callback's promise; use utils.runDetached";
  }
  return undefined;
}

function isUnhandled(
  expression: ts.Expression,
  checker: ts.TypeChecker,
): boolean {
  // A `void` has its own node, and an assignment keeps the promise.
  if (ts.isVoidExpression(expression) || ts.isAwaitExpression(expression)) {
    return false;
  }
  if (ts.isBinaryExpression(expression)) {
    return !isAssignment(expression) && isUnhandled(expression.right, checker);
  }
  return isPromise(checker.getTypeAtLocation(expression), checker) &&
    !hasHandler(expression);
}

function isAssignment({ operatorToken: { kind } }: ts.BinaryExpression) {
  return kind >= ts.SyntaxKind.FirstAssignment &&
    kind <= ts.SyntaxKind.LastAssignment;
}

function isPromise(type: ts.Type, checker: ts.TypeChecker): boolean {
  if (type.isUnion()) return type.types.some((one) => isPromise(one, checker));
  const then = type.getProperty("then");
  return then !== undefined && type.getProperty("catch") !== undefined;
}

/** Whether an expression ends with a handler of rejections. */
function hasHandler(expression: ts.Expression): boolean {
  if (!ts.isCallExpression(expression)) return false;
  const { expression: callee, arguments: { length } } = expression;
  if (!ts.isPropertyAccessExpression(callee)) return false;
  const name = callee.name.text;
  if (name === "finally") return hasHandler(callee.expression);
  return (name === "catch" && length > 0) || (name === "then" && length > 1);
}

/** Whether a callback returns a promise to a caller that expects nothing. */
function hasIgnoredPromise(
  callback: ts.ArrowFunction | ts.FunctionExpression,
  checker: ts.TypeChecker,
): boolean {
  const expected = checker.getContextualType(callback)?.getCallSignatures() ??
    [];
  const expectsNothing = expected.length > 0 &&
    expected.every((signature) =>
      (signature.getReturnType().flags & ts.TypeFlags.Void) !== 0
    );
  const signature = checker.getSignatureFromDeclaration(callback);
  return expectsNothing && signature !== undefined &&
    isPromise(signature.getReturnType(), checker);
}

function run(): void {
  const configFile = path.join(ROOT, "tsconfig.json");
  const { config } = ts.readConfigFile(configFile, ts.sys.readFile);
  const { fileNames, options } = ts.parseJsonConfigFileContent(
    config,
    ts.sys,
    ROOT,
  );
  const isProduct = (name: string) =>
    /[/\\](packages|platform)[/\\]/.test(name.slice(ROOT.length)) &&
    !name.includes("node_modules") && !NO_PRODUCT.test(name);
  const found = findUnhandled(
    ts.createProgram(fileNames, options),
    isProduct,
  );
  found.forEach(({ file, line, message }) =>
    console.log(`${path.relative(ROOT, file)}:${line}: ${message}`)
  );
  if (found.length > 0) process.exitCode = 1;
}

if (import.meta.filename === process.argv[1]) run();
