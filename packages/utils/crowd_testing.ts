/** Test helpers: crowds of clients that keep no limits, and what a process holds meanwhile. */
import * as fs from "node:fs";
import * as net from "node:net";
import * as utils from "./mod.ts";

/** Connections of a crowd. */
export const CROWD = 150;
/** Time for which a crowd sends, in ms. */
const CROWD_MS = 4_000;
/** Pause before a client connects again, in ms. */
const RECONNECT_MS = 10;
/** Bytes that a client writes at a time. */
const WRITE_BYTES = 64 * 1024;
/** Announced size of an endless body, in bytes. */
const ENDLESS_BYTES = 10_000_000_000;
/** Interval between two looks at a process, in ms. */
const LOOK_MS = 20;

/** What each client of a crowd sends, without reading an answer. */
export interface CrowdLoad {
  /** Sent once on each connection. */
  readonly head: string;
  /** Sent again and again after the head; undefined to send nothing more. */
  readonly repeated?: string;
}

/**
 * Builds a load of requests that are sent ahead of their answers.
 *
 * @example
 * buildRequestsAhead("GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n");
 */
export function buildRequestsAhead(request: string): CrowdLoad {
  return {
    head: "",
    repeated: request.repeat(Math.ceil(WRITE_BYTES / request.length)),
  };
}

/**
 * Builds a load of one body without end, whose size is announced or not.
 *
 * @example
 * buildEndlessBody("POST /nowhere HTTP/1.1\r\nhost: x\r\n", { announced: true });
 */
export function buildEndlessBody(
  head: string,
  { announced }: { readonly announced: boolean },
): CrowdLoad {
  const bytes = "x".repeat(WRITE_BYTES);
  if (announced) {
    return {
      head: `${head}content-length: ${ENDLESS_BYTES}\r\n\r\n`,
      repeated: bytes,
    };
  }
  return {
    head: `${head}transfer-encoding: chunked\r\n\r\n`,
    repeated: `${WRITE_BYTES.toString(16)}\r\n${bytes}\r\n`,
  };
}

/** Address of a listener. */
export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
}

/**
 * Lets a crowd send as fast as it may for four seconds. A client whose connection
 * is closed connects again.
 *
 * @example
 * await runCrowd({ host: "127.0.0.1", port }, { load, connections: CROWD });
 */
export async function runCrowd(
  target: CrowdTarget,
  { load, connections }: {
    readonly load: CrowdLoad;
    readonly connections: number;
  },
): Promise<void> {
  const open = new Set<net.Socket>();
  let isOver = false;
  const connect = () => {
    if (isOver) return;
    const socket = net.connect(target.port, target.host);
    open.add(socket);
    socket.pause();
    socket.on("error", () => undefined);
    socket.once("close", () => {
      open.delete(socket);
      setTimeout(connect, RECONNECT_MS);
    });
    socket.once("connect", () => sendLoad(socket, load));
  };
  Array.from({ length: connections }).forEach(connect);
  await utils.waitFor(CROWD_MS);
  isOver = true;
  open.forEach((socket) => socket.destroy());
}

function sendLoad(socket: net.Socket, { head, repeated }: CrowdLoad): void {
  socket.write(head);
  if (repeated === undefined) return;
  const send = () => {
    while (!socket.destroyed && socket.write(repeated));
  };
  socket.on("drain", send);
  send();
}

/** What a process held at most. */
export interface HeldMost {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Watches what a process holds. */
export interface ProcessWatch {
  /** Ends the watch. */
  readonly stop: () => HeldMost;
}

/**
 * Watches the memory and the descriptors of a process.
 *
 * @example
 * const watch = watchProcess(child.pid);
 */
export function watchProcess(pid: number): ProcessWatch {
  let memoryMb = 0;
  let descriptors = 0;
  const look = () => {
    try {
      memoryMb = Math.max(memoryMb, readMemoryMb(pid));
      const held = fs.readdirSync(`/proc/${pid}/fd`).length;
      descriptors = Math.max(descriptors, held);
    } catch {
      // The process has ended, which the test checks by itself.
    }
  };
  const timer = setInterval(look, LOOK_MS);
  return {
    stop: () => {
      look();
      clearInterval(timer);
      return { memoryMb, descriptors };
    },
  };
}

/** Reads the largest resident size that a process has had, in MB. */
function readMemoryMb(pid: number): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  // A process that has ended and is not yet removed has no memory.
  return Number(kilobytes ?? 0) * 1_024 / 1_000_000;
}
