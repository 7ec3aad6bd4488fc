/**
 * Checks the rules of the code style that the formatter and the linter do not
 * cover.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as ts from "typescript";

const ROOT = path.join(import.meta.dirname, "..");

/**
 * Verbs with which names of functions begin; docs/STYLE.md explains each of
 * them.
 */
const VERBS: ReadonlySet<string> = new Set(
  ("abandon accept acknowledge acquire add admit advance after allocate " +
    "answer append apply arrive ask assert build bundle call cancel check " +
    "choose classify clear close collect commit compact compare complete " +
    "compute confirm connect copy count crash create decide decode deliver " +
    "describe dispatch divide drain draw drop eject encode end estimate " +
    "exceeds expire explain fail fetch filter find finish fix flush forget " +
    "format forward get grant handle has hash hold index inspect is issue " +
    "keep leave list listen load make mark may measure merge notify open " +
    "order parse peek pick plan poll postpone preempt prefill print publish " +
    "pull push put rank read recognise record refuse release remove render " +
    "renew repeat replay report requeue resolve restart resume revoke run " +
    "schedule score select send separate serve set settle shed shorten show " +
    "simulate spawn split spread start step stop suggest sum suspend swap " +
    "take tick tidy to touch try update use verify wait walk watch with " +
    "withdraw work write")
    .split(" "),
);

/**
 * Packages that each package may import, so that the core depends on nothing but
 * utils; packages without an entry may import all.
 */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  utils: [],
  core: ["utils"],
  store: ["core", "utils"],
  engine: ["core", "utils"],
  service: ["core", "utils"],
  fleet: ["core", "store", "utils"],
  usage: ["core", "store", "utils"],
  peer: ["core", "listener", "store", "utils"],
  listener: ["core", "utils"],
  caller: ["core", "listener", "utils"],
  operator: ["core", "store", "utils"],
};

const problems: string[] = [];

function report(file: ts.SourceFile, node: ts.Node, message: string): void {
  const { line } = file.getLineAndCharacterOfPosition(node.getStart(file));
  problems.push(
    `${path.relative(ROOT, file.fileName)}:${line + 1}: ${message}`,
  );
}

function listFiles(folder: string): string[] {
  return fs.readdirSync(path.join(ROOT, folder), {
    recursive: true,
    encoding: "utf8",
  }).filter((name) => name.endsWith(".ts") && !name.includes("node_modules"))
    .map((name) => path.join(ROOT, folder, name));
}

/**
 * Names of the users' platform, which only the adapter in platform/ may use.
 */
const PLATFORM_NAMES =
  /banyangrade-(attempt-id|deadline-ms|server-stamp|duty-holder|fencing-token|expected-instance|not-executed)|\bkv-(txn|watch|range|lease|key|keep)\b|\bop\/config\b/i;

function checkFile(name: string): void {
  const text = fs.readFileSync(name, "utf8");
  const relative = path.relative(ROOT, name);
  const mayUsePlatformNames = relative.startsWith("platform") ||
    relative.startsWith(path.join("scripts", "check_style"));
  if (!mayUsePlatformNames && PLATFORM_NAMES.test(text)) {
    problems.push(`${relative}:1: platform name; use it only in platform/`);
  }
  const file = ts.createSourceFile(
    name,
    text,
    ts.ScriptTarget.ES2022,
    true,
  );
  if (!/^\/\*\*/.test(text)) {
    problems.push(
      `${
        path.relative(ROOT, name)
      }:1: missing doc comment; begin the file with /** ... */`,
    );
  }
  if (!/^[a-z0-9_]+\.ts$/.test(path.basename(name))) {
    problems.push(
      `${path.relative(ROOT, name)}:1: file name is not in snake_case`,
    );
  }
  walk(file, (node) => checkNode(file, node));
}

function walk(node: ts.Node, visit: (node: ts.Node) => void): void {
  visit(node);
  ts.forEachChild(node, (child) => walk(child, visit));
}

function checkNode(file: ts.SourceFile, node: ts.Node): void {
  if (ts.isImportDeclaration(node)) return checkImport(file, node);
  if (ts.isEnumDeclaration(node)) {
    report(file, node, "enum is not allowed; use a string union");
  }
  const inherits = ts.isClassDeclaration(node) &&
    (node.heritageClauses ?? []).some((clause) =>
      clause.token === ts.SyntaxKind.ExtendsKeyword
    );
  if (inherits) {
    report(file, node, "inheritance is not allowed; use composition");
  }
  if (ts.isFunctionDeclaration(node)) checkFunction(file, node);
  if (ts.isMethodDeclaration(node) && ts.isClassDeclaration(node.parent)) {
    checkVerb(file, node, node.name.getText(file).replace("#", ""));
  }
  if (isExported(node) && !hasDoc(node)) {
    report(file, node, "exported item has no doc comment");
  }
}

function checkImport(file: ts.SourceFile, node: ts.ImportDeclaration): void {
  const bindings = node.importClause?.namedBindings;
  const isNamespace = bindings !== undefined && ts.isNamespaceImport(bindings);
  if (!isNamespace || node.importClause?.name !== undefined) {
    report(file, node, 'import is not allowed; use "import * as name"');
  }
  const target = (node.moduleSpecifier as ts.StringLiteral).text;
  const importer = /packages\/([a-z]+)\//.exec(file.fileName)?.[1];
  if (importer === undefined) return;
  const test = file.fileName.endsWith("_test.ts");
  if (target === "node:child_process" && !test) {
    report(file, node, "node:child_process is allowed in tests only");
  }
  const imported = /^@banyangrade\/([a-z]+)/.exec(target)?.[1];
  const allowed = ALLOWED_IMPORTS[importer];
  if (imported === undefined || allowed === undefined || test) return;
  if (!allowed.includes(imported)) {
    report(file, node, `package ${importer} may not import ${imported}`);
  }
}

function checkFunction(
  file: ts.SourceFile,
  node: ts.FunctionDeclaration,
): void {
  checkVerb(file, node, node.name?.text ?? "");
  if (!isExported(node)) return;
  if (
    node.parameters.length > 2 && !ts.isTypePredicateNode(node.type ?? node)
  ) {
    const last = node.parameters[2];
    const hasOptions = node.parameters.length === 3 &&
      /options|Options/.test(last.getText(file));
    if (!hasOptions) {
      report(file, node, "more than two parameters; use an options object");
    }
  }
  const isCommand = file.fileName.includes("/commands/");
  const hasExample = ts.getJSDocTags(node).some((tag) =>
    tag.tagName.text === "example"
  );
  if (!hasExample && !isCommand && !file.fileName.endsWith("_test.ts")) {
    report(file, node, "exported function has no @example");
  }
}

function checkVerb(file: ts.SourceFile, node: ts.Node, name: string): void {
  const verb = /^[a-z]+/.exec(name)?.[0] ?? "";
  if (!VERBS.has(verb)) {
    report(
      file,
      node,
      `"${name}" does not begin with a verb listed in docs/STYLE.md`,
    );
  }
}

function isExported(node: ts.Node): boolean {
  return ts.canHaveModifiers(node) &&
    (ts.getModifiers(node) ?? []).some((modifier) =>
      modifier.kind === ts.SyntaxKind.ExportKeyword
    );
}

function hasDoc(node: ts.Node): boolean {
  return ts.getJSDocCommentsAndTags(node).length > 0;
}

["packages", "platform", "playground", "scripts", "bench"].flatMap(listFiles)
  .forEach(
    checkFile,
  );
problems.forEach((problem) => process.stderr.write(`${problem}\n`));
if (problems.length > 0) process.exitCode = 1;
