/**
 * Test helpers: one table of the ways in which a server answers, played by a raw
 * server, for each place that reads answers.
 */
import * as net from "node:net";
import type * as tapTypes from "tap";
import * as timers from "node:timers/promises";

/** Size of an upload that no socket buffers as a whole. */
const UPLOAD_BYTES = 8 * 1024 * 1024;
/** Size of an upload that is read before it is answered. */
const SHORT_UPLOAD_BYTES = 100 * 1024;
/** Longest time until a case is decided, in ms. */
const CASE_MS = 5_000;
const HEAD_END = "\r\n\r\n";
/** Stands in the marks of an answer for the identifier of the request. */
export const ID_MARK = "{id}";
/** Pause between the pieces of an answer, in ms. */
const PIECE_PAUSE_MS = 1;
/** Cases that run at a time. */
const CONCURRENCY = 8;

/** How the end of a body is marked; `none` and `none_1_0` by the end of the connection. */
type Framing = "length" | "chunked" | "none" | "none_1_0";
/** What the server does after it has written its bytes. */
type End = "stay" | "close" | "half_close" | "reset" | "reset_5" | "reset_50";
/** What becomes of the body of the request. */
type Upload =
  | "no_body"
  /** Read before the server answers. */
  | "read_before"
  /** The server answers at once and reads on. */
  | "read_on"
  /** The server answers at once and reads no more. */
  | "unread";
/** What a reader must make of an answer. */
type Verdict =
  | "whole"
  | "failed"
  /** Both are right, but nothing else than the whole answer may pass for one. */
  | "either";

const FRAMINGS: readonly Framing[] = ["length", "chunked", "none", "none_1_0"];
/** Size of the pieces of a slow answer, in bytes. */
const PIECE_BYTES = 1;
const ENDS: readonly End[] = [
  "stay",
  "close",
  "half_close",
  "reset",
  "reset_5",
  "reset_50",
];
const UPLOADS: readonly Upload[] = [
  "no_body",
  "read_before",
  "read_on",
  "unread",
];

/** A way in which a server answers. */
export interface AnswerCase {
  readonly name: string;
  readonly upload: Upload;
  readonly end: End;
  readonly verdict: Verdict;
  readonly status: number;
  /** Bytes that the server writes at a time. @default all */
  readonly pieceBytes?: number;
  /** Builds the bytes of the answer. */
  readonly build: (reader: AnswerReader) => string;
}

/** What a reader made of an answer. */
export type ReadAnswer =
  | { readonly kind: "whole"; readonly status: number; readonly body: string }
  | { readonly kind: "failed" };

/** What a reader sends. */
export interface ReadRequest {
  readonly port: number;
  readonly upload: Buffer;
  /** Identifier of the request; a server that the reader shares finds it in the head. */
  readonly id: string;
}

/** A raw server. */
export interface RawServer {
  readonly port: number;
  /** Sets the answers to requests by identifier; the only one if a server has but one. */
  readonly answers: Map<string, PreparedAnswer>;
  /** Returns the number of requests that it has answered. */
  readonly countAnswered: () => number;
  readonly close: () => void;
}

/** What a raw server writes, and how. */
export interface PreparedAnswer {
  readonly bytes: string;
  /** Bytes that are written at a time. @default all */
  readonly pieceBytes?: number;
  readonly end: End;
  readonly upload: Upload;
}

/** A place that reads answers. */
export interface AnswerReader {
  readonly name: string;
  /** Header lines by which the reader knows the answer to its request. */
  readonly marks: readonly string[];
  /** Body of a complete answer; a part of it may look complete as well. */
  readonly body: string;
  /** Beginning of that body, which a truncated answer has. */
  readonly part: string;
  /** Statuses that the reader returns with their body. */
  readonly statuses: readonly number[];
  /** Size of an upload during which the server answers, in bytes. @default 8 MiB */
  readonly uploadBytes?: number;
  /** Requests that the reader sends at a time. @default 8 */
  readonly concurrency?: number;
  /** Cases that the reader is asked for. @default all */
  readonly isAsked?: (one: AnswerCase) => boolean;
  /** Whether the reader can send a request without a body, and one with a body. */
  readonly uploads: readonly ("without" | "with")[];
  /** The only server that the reader has. @default each case has its own */
  readonly server?: RawServer;
  /** Sends a request to a port of the loopback interface and reads the answer. */
  readonly read: (request: ReadRequest) => Promise<ReadAnswer>;
}

/** Heads that are none of an answer in HTTP/1.1, with a body of a known length. */
const FLAWED_HEADS: Readonly<Record<string, readonly string[]>> = {
  "status 000": ["HTTP/1.1 000 X"],
  "status 099": ["HTTP/1.1 099 X"],
  "status 600": ["HTTP/1.1 600 X"],
  "status 999": ["HTTP/1.1 999 X"],
  "status 1000": ["HTTP/1.1 1000 X"],
  "status 20": ["HTTP/1.1 20 X"],
  "no status": ["HTTP/1.1 OK"],
  "version 0.9": ["HTTP/0.9 200 OK"],
  "version 2.0": ["HTTP/2.0 200 OK"],
  "version 3.0": ["HTTP/3.0 200 OK"],
  "version 11": ["HTTP/11 200 OK"],
  "another protocol": ["ICY 200 OK"],
  "an interim answer of version 2.0": ["HTTP/2.0 103 X", "", "HTTP/1.1 200 OK"],
  "version 2.0 after an interim answer": [
    "HTTP/1.1 103 X",
    "",
    "HTTP/2.0 200 OK",
  ],
  "status 600 after an interim answer": [
    "HTTP/1.1 100 X",
    "",
    "HTTP/1.1 600 OK",
  ],
  "a blank in a name": ["HTTP/1.1 200 OK", "x y: z"],
  "a blank after a name": ["HTTP/1.1 200 OK", "x-y : z"],
  "a control byte in a name": ["HTTP/1.1 200 OK", "x\u0001y: z"],
  "a zero byte in a value": ["HTTP/1.1 200 OK", "x-y: a\u0000b"],
  "a folded line": ["HTTP/1.1 200 OK", " x-y: z"],
  "a line without a colon": ["HTTP/1.1 200 OK", "nothing"],
  "an empty name": ["HTTP/1.1 200 OK", ": z"],
  "two lengths": ["HTTP/1.1 200 OK", "content-length: 3"],
  "an unknown transfer coding": [
    "HTTP/1.1 200 OK",
    "transfer-encoding: xchunked",
  ],
  "a second transfer coding": [
    "HTTP/1.1 200 OK",
    "transfer-encoding: gzip, chunked",
  ],
  "an empty transfer coding": ["HTTP/1.1 200 OK", "transfer-encoding: "],
};

/** Heads with a transfer coding, which have no length besides. */
const FLAWED_CODINGS: Readonly<Record<string, readonly string[]>> = {
  "an unknown transfer coding alone": [
    "HTTP/1.1 200 OK",
    "transfer-encoding: xchunked",
  ],
  "the identity as transfer coding": [
    "HTTP/1.1 200 OK",
    "transfer-encoding: identity",
  ],
  "chunks that are coded again": [
    "HTTP/1.1 200 OK",
    "transfer-encoding: chunked",
    "transfer-encoding: gzip",
  ],
};

/** Heads with a length of their own that is none. */
const FLAWED_LENGTHS: Readonly<Record<string, string>> = {
  "a length with a sign": "+{length}",
  "a negative length": "-{length}",
  "a hexadecimal length": "0x{length}",
  "a length with a fraction": "{length}.0",
  "a length of two words": "{length} {length}",
  "a length with more behind it": "{length};",
  "an empty length": "",
  "a length that is too large": "99999999999999999999999999",
};

/** Chunked bodies that are none; the first chunk holds the whole body. */
const FLAWED_CHUNKS: Readonly<
  Record<string, (size: string, body: string) => string>
> = {
  "a chunk without a size": (_size, body) => `\r\n${body}\r\n0\r\n\r\n`,
  "a size that is no number": (_size, body) => `zz\r\n${body}\r\n0\r\n\r\n`,
  "a size with a sign": (size, body) => `+${size}\r\n${body}\r\n0\r\n\r\n`,
  "a size with a prefix": (size, body) => `0x${size}\r\n${body}\r\n0\r\n\r\n`,
  "a size that is too large": (size, body) =>
    `ffffffffffffffffff${size}\r\n${body}\r\n0\r\n\r\n`,
  "a size that is too small": (_size, body) => `1\r\n${body}\r\n0\r\n\r\n`,
  "a chunk without its end": (size, body) => `${size}\r\n${body}0\r\n\r\n`,
  "chunks without the last one": (size, body) => `${size}\r\n${body}\r\n`,
  "a last chunk without its end": (size, body) => `${size}\r\n${body}\r\n0\r\n`,
  "a last chunk of half an end": (size, body) =>
    `${size}\r\n${body}\r\n0\r\n\r`,
  "a trailer with a blank in its name": (size, body) =>
    `${size}\r\n${body}\r\n0\r\nx y: z\r\n\r\n`,
  "a trailer without its end": (size, body) =>
    `${size}\r\n${body}\r\n0\r\nx: y\r\n`,
};

/** Heads that are unusual and sound, without what frames the body. */
const UNUSUAL_HEADS: Readonly<Record<string, readonly string[]>> = {
  "no reason": ["HTTP/1.1 200 "],
  "a reason of other bytes": ["HTTP/1.1 200 \u00fcber"],
  "a value without a blank before it": ["HTTP/1.1 200 OK", "x:y"],
  "a value between tabs": ["HTTP/1.1 200 OK", "x:\ty\t"],
  "an empty value": ["HTTP/1.1 200 OK", "x:"],
  "a value of other bytes": ["HTTP/1.1 200 OK", "x: \u00e9\u00ff"],
  "a name of all allowed signs": ["HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~0aZ: y"],
  "an interim answer that was not asked for": [
    "HTTP/1.1 100 Continue",
    "",
    "HTTP/1.1 200 OK",
  ],
  "several interim answers": [
    "HTTP/1.1 103 X",
    "link: </a>",
    "",
    "HTTP/1.1 102 X",
    "",
    "HTTP/1.1 200 OK",
  ],
  "fields that look like framing": [
    "HTTP/1.1 200 OK",
    "x-content-length: 3",
    "x: transfer-encoding: gzip",
    "transfer-encodings: gzip",
  ],
};

/** What frames the body of an unusual answer. */
const UNUSUAL_FRAMINGS: Readonly<
  Record<string, (size: string, body: string) => string>
> = {
  "a length": (_size, body) =>
    `Content-Length:${body.length}${HEAD_END}${body}`,
  "chunks in other letters": (size, body) =>
    `Transfer-Encoding: CHUNKED ${HEAD_END}${size}\r\n${body}\r\n0${HEAD_END}`,
  "chunks with extensions": (size, body) =>
    `transfer-encoding: chunked${HEAD_END}${size};a=b\r\n${body}\r\n0;c${HEAD_END}`,
  "chunks with a trailer": (size, body) =>
    `transfer-encoding: chunked${HEAD_END}0${size}\r\n${body}\r\n0\r\nx: y${HEAD_END}`,
  "many chunks": (_size, body) =>
    `transfer-encoding: chunked${HEAD_END}${
      [...body].map((letter) => `1\r\n${letter}\r\n`).join("")
    }0${HEAD_END}`,
};

function buildHead(
  { marks }: AnswerReader,
  lines: readonly string[],
): string {
  return [...lines, ...marks, "", ""].join("\r\n");
}

/** Builds an answer, or one whose body is cut short. */
function buildAnswer(
  reader: AnswerReader,
  { framing, status, isWhole }: {
    readonly framing: Framing;
    readonly status: number;
    readonly isWhole: boolean;
  },
): string {
  const { body, part } = reader;
  const sent = isWhole ? body : part;
  switch (framing) {
    case "length": {
      const length = `content-length: ${body.length}`;
      return buildHead(reader, [`HTTP/1.1 ${status} X`, length]) + sent;
    }
    case "chunked": {
      const coding = "transfer-encoding: chunked";
      const head = buildHead(reader, [`HTTP/1.1 ${status} X`, coding]);
      const chunk = `${sent.length.toString(16)}\r\n${sent}\r\n`;
      return head + chunk + (isWhole ? "0\r\n\r\n" : "");
    }
    case "none":
      return buildHead(reader, [`HTTP/1.1 ${status} X`, "connection: close"]) +
        sent;
    case "none_1_0":
      return buildHead(reader, [`HTTP/1.0 ${status} X`]) + sent;
  }
}

function isReset(end: End): boolean {
  return end.startsWith("reset");
}

/** Decides what a reader must make of an answer; undefined if nobody could know. */
function decideVerdict(
  { framing, end, upload, isWhole }: {
    readonly framing: Framing;
    readonly end: End;
    readonly upload: Upload;
    readonly isWhole: boolean;
  },
): Verdict | undefined {
  if (framing === "length" || framing === "chunked") {
    if (!isWhole) return end === "stay" ? undefined : "failed";
    // A reset may overtake what it follows.
    return isReset(end) ? "either" : "whole";
  }
  if (end === "stay") return undefined;
  if (isReset(end)) return "failed";
  if (!isWhole) return undefined;
  // Without a length, an end that comes before the request was written proves nothing.
  return upload === "read_on" || upload === "unread" ? "either" : "whole";
}

function listFramedCases(): AnswerCase[] {
  return FRAMINGS.flatMap((framing) =>
    ENDS.flatMap((end) =>
      UPLOADS.flatMap((upload) =>
        [true, false].flatMap((isWhole) =>
          [200, 413].flatMap((status) => {
            const verdict = decideVerdict({ framing, end, upload, isWhole });
            if (verdict === undefined) return [];
            return [{
              name: `${status} ${framing} ${
                isWhole ? "whole" : "part"
              } ${end} ${upload}`,
              upload,
              end,
              verdict,
              status,
              build: (reader: AnswerReader) =>
                buildAnswer(reader, { framing, status, isWhole }),
            }];
          })
        )
      )
    )
  );
}

/** Returns an answer with each of the ways in which its connection may end soundly. */
function listEnds(
  { name, verdict, build }: Pick<AnswerCase, "name" | "verdict" | "build">,
): AnswerCase[] {
  const uploads: readonly Upload[] = ["no_body", "read_before", "read_on"];
  const ends: readonly End[] = ["close", "half_close"];
  return uploads.flatMap((upload) =>
    ends.map((end) => ({
      name: `${name} ${end} ${upload}`,
      upload,
      end,
      verdict,
      status: 200,
      build,
    }))
  );
}

function listFlawedCases(): AnswerCase[] {
  const heads = Object.entries(FLAWED_HEADS).map(([name, lines]) => ({
    name,
    build: (reader: AnswerReader) =>
      buildHead(reader, [...lines, `content-length: ${reader.body.length}`]) +
      reader.body,
  }));
  const codings = Object.entries(FLAWED_CODINGS).map(([name, lines]) => ({
    name,
    build: (reader: AnswerReader) => buildHead(reader, lines) + reader.body,
  }));
  const lengths = Object.entries(FLAWED_LENGTHS).map(([name, value]) => ({
    name,
    build: (reader: AnswerReader) => {
      const length = value.replaceAll("{length}", `${reader.body.length}`);
      return buildHead(reader, [
        "HTTP/1.1 200 OK",
        `content-length: ${length}`,
      ]) + reader.body;
    },
  }));
  const chunks = Object.entries(FLAWED_CHUNKS).map(([name, buildBody]) => ({
    name,
    build: (reader: AnswerReader) =>
      buildHead(reader, ["HTTP/1.1 200 OK", "transfer-encoding: chunked"]) +
      buildBody(reader.body.length.toString(16), reader.body),
  }));
  return [...heads, ...codings, ...lengths, ...chunks].flatMap((flawed) =>
    listEnds({ ...flawed, verdict: "failed" })
  );
}

function listUnusualCases(): AnswerCase[] {
  return Object.entries(UNUSUAL_HEADS).flatMap(([head, lines]) =>
    Object.entries(UNUSUAL_FRAMINGS).flatMap(([framing, frame]) =>
      listEnds({
        name: `${head}, ${framing}`,
        verdict: "whole",
        build: ({ marks, body }) =>
          [...lines, ...marks, frame(body.length.toString(16), body)]
            .join("\r\n"),
      })
    )
  );
}

/** Answers whose heads come in pieces; one of each head. */
function listSlowCases(): AnswerCase[] {
  const isOneOfHead = ({ name }: AnswerCase) =>
    name.endsWith(" close no_body") || name.endsWith(" close read_before");
  const unusual = listUnusualCases().filter(({ name }) =>
    name.includes(", a length ")
  );
  return [...unusual, ...listFlawedCases()].filter(isOneOfHead).map((one) => ({
    ...one,
    name: `${one.name}, in pieces`,
    pieceBytes: PIECE_BYTES,
  }));
}

/** All ways in which a server answers. */
export const ANSWER_CASES: readonly AnswerCase[] = [
  ...listFramedCases(),
  ...listFlawedCases(),
  ...listUnusualCases(),
  ...listSlowCases(),
];

/**
 * Starts a server that answers the first request of each connection.
 *
 * @example
 * const server = await startRawServer();
 */
export async function startRawServer(): Promise<RawServer> {
  const answers = new Map<string, PreparedAnswer>();
  const sockets = new Set<net.Socket>();
  let answered = 0;
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    let received = Buffer.alloc(0);
    let hasAnswered = false;
    socket.on("data", (chunk: Buffer) => {
      if (hasAnswered) return;
      received = Buffer.concat([received, chunk]);
      const answer = findAnswer(received, answers);
      if (answer === undefined || !isDue(received, answer.upload)) return;
      hasAnswered = true;
      answered += 1;
      if (answer.upload === "unread") socket.pause();
      const id = /case-\d+-\d*/.exec(received.toString("latin1"))?.[0] ?? "";
      const bytes = answer.bytes.replaceAll(ID_MARK, id);
      void writePieces(socket, { ...answer, bytes }).then(() =>
        endConnection(socket, answer.end)
      );
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return {
    port: (server.address() as net.AddressInfo).port,
    answers,
    countAnswered: () => answered,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** Returns the answer to a request whose head is complete. */
function findAnswer(
  received: Buffer,
  answers: RawServer["answers"],
): PreparedAnswer | undefined {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [first] = answers.values();
  if (answers.size === 1) return first;
  const head = received.toString("latin1", 0, headEnd);
  const [id = ""] = /case-\d+-/.exec(head) ?? [];
  return answers.get(id);
}

/** Whether the server answers now: once it has the head of the request, or all of it. */
function isDue(received: Buffer, upload: Upload): boolean {
  const headEnd = received.indexOf(HEAD_END);
  if (upload !== "read_before") return true;
  const head = received.subarray(0, headEnd).toString("latin1");
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  return received.length >= headEnd + 4 + length;
}

async function writePieces(
  socket: net.Socket,
  { bytes, pieceBytes = bytes.length }: PreparedAnswer,
): Promise<void> {
  socket.setNoDelay(true);
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    if (start > 0) await timers.setTimeout(PIECE_PAUSE_MS);
    socket.write(bytes.slice(start, start + pieceBytes), "latin1");
  }
}

function endConnection(socket: net.Socket, end: End): void {
  switch (end) {
    case "stay":
      return;
    case "close":
      return void socket.end(() => socket.destroy());
    case "half_close":
      return void socket.end();
    case "reset":
      return void socket.resetAndDestroy();
    case "reset_5":
      return void setTimeout(() => socket.resetAndDestroy(), 5);
    case "reset_50":
      return void setTimeout(() => socket.resetAndDestroy(), 50);
  }
}

function buildUpload(
  { upload }: AnswerCase,
  { uploadBytes = UPLOAD_BYTES }: AnswerReader,
): Buffer {
  switch (upload) {
    case "no_body":
      return Buffer.alloc(0);
    case "read_before":
      return Buffer.alloc(SHORT_UPLOAD_BYTES, "a");
    case "read_on":
    case "unread":
      return Buffer.alloc(uploadBytes, "a");
  }
}

let ran = 0;

/** Runs one case; returns what is wrong with what the reader made of it. */
async function runCase(
  one: AnswerCase,
  reader: AnswerReader,
): Promise<string | undefined> {
  const server = reader.server ?? await startRawServer();
  ran += 1;
  const id = `case-${ran}-`;
  server.answers.set(id, { ...one, bytes: one.build(reader) });
  const read = await Promise.race([
    reader.read({ port: server.port, upload: buildUpload(one, reader), id }),
    timers.setTimeout(CASE_MS, "late" as const, { ref: false }),
  ]);
  server.answers.delete(id);
  if (reader.server === undefined) server.close();
  if (read === "late") return "no end";
  if (read.kind === "failed") {
    return one.verdict === "whole" ? "lost" : undefined;
  }
  if (one.verdict === "failed") {
    return `taken for ${read.status} ${JSON.stringify(read.body)}`;
  }
  const isRight = read.status === one.status && read.body === reader.body;
  return isRight
    ? undefined
    : `changed to ${read.status} ${JSON.stringify(read.body)}`;
}

/** Whether a reader can be asked for a case. */
function isAsked(
  { uploads, statuses, isAsked: isWanted }: AnswerReader,
  one: AnswerCase,
): boolean {
  const isSent = uploads.includes(
    one.upload === "no_body" ? "without" : "with",
  );
  return isSent && statuses.includes(one.status) && (isWanted?.(one) ?? true);
}

/**
 * Checks what a reader makes of all answers of the table, `runs` times each.
 *
 * @example
 * await checkReader(t, { reader, runs: 1 });
 */
export async function checkReader(
  t: tapTypes.Test,
  { reader, runs }: { readonly reader: AnswerReader; readonly runs: number },
): Promise<void> {
  const wrong = new Map<string, number>();
  const asked = ANSWER_CASES.filter((one) => isAsked(reader, one));
  const queue = asked.flatMap((one) => Array.from({ length: runs }, () => one));
  const total = queue.length;
  const work = async () => {
    for (let one = queue.shift(); one !== undefined; one = queue.shift()) {
      const fault = await runCase(one, reader);
      if (fault === undefined) continue;
      const key = `${one.name}: ${fault}`;
      wrong.set(key, (wrong.get(key) ?? 0) + 1);
    }
  };
  const { concurrency = CONCURRENCY } = reader;
  await Promise.all(Array.from({ length: concurrency }, work));
  const faults = [...wrong].map(([fault, count]) => `${fault} (${count}x)`);
  if (faults.length > 0) t.comment(faults.join("\n"));
  t.equal(faults.length, 0, `${total} answers`);
}
