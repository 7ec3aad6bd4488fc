/** Tests the pieces in which the HTTP parser gets what clients send. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as listener from "./mod.ts";

const tap = tapModule.default;

const REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

function splitPieces(bytes: Buffer): Buffer[] {
  if (bytes.length === 0) return [];
  const end = listener.findPieceEnd(bytes);
  return [
    bytes.subarray(0, end),
    ...splitPieces(bytes.subarray(end)),
  ];
}

// Guards against a chunk of bytes that becomes hundreds of requests before anything can stop it.
tap.test("a piece begins few requests", (t) => {
  const pieces = splitPieces(Buffer.from(REQUEST.repeat(200)));
  pieces.forEach((piece) => t.ok(piece.length < 128 + REQUEST.length));
  t.equal(
    pieces.map((piece) => piece.toString()).join(""),
    REQUEST.repeat(200),
  );
  t.end();
});

tap.test("a head is one piece, and the rest another", (t) => {
  const head = `GET / HTTP/1.1\r\nx: ${"a".repeat(500)}\r\n\r\n`;
  const pieces = splitPieces(Buffer.from(`${head}rest`));
  t.same(pieces.map((piece) => piece.toString()), [head, "rest"]);
  t.end();
});

// Guards against a piece that brings thousands of small chunks of a body.
tap.test("a piece has few lines", (t) => {
  const pieces = splitPieces(Buffer.from("1\r\nx\r\n".repeat(5_000)));
  pieces.forEach(({ length }) => t.ok(length < 256));
  t.end();
});

// Guards against bytes that are lost, repeated or delivered without end.
tap.test("pieces are the bytes in order", (t) => {
  const bytes = fc.stringMatching(/^[a\r\n]{0,600}$/);
  fc.assert(fc.property(bytes, (text) => {
    const pieces = splitPieces(Buffer.from(text));
    return pieces.every(({ length }) => length > 0) &&
      Buffer.concat(pieces).toString() === text;
  }));
  t.end();
});

tap.test("a body of small chunks is put together", (t) => {
  const sizes = fc.array(fc.integer({ min: 1, max: 70_000 }), {
    maxLength: 40,
  });
  fc.assert(fc.property(sizes, (lengths) => {
    const read = Buffer.alloc(70_000);
    const chunks = lengths.map((length, index) =>
      // Every third chunk is what was read as a whole.
      index % 3 === 0
        ? Buffer.alloc(length, index)
        : Buffer.from(read.fill(index).buffer.slice(0)).subarray(0, length)
    );
    const body = new listener.BodyBuffer();
    chunks.forEach((chunk) => body.add(chunk));
    return body.build().equals(Buffer.concat(chunks));
  }));
  t.end();
});
