/** Whole events of an event stream. */

const LF = 10
const CR = 13

/** Longest event, in bytes; a longer one breaks the stream. */
export const MAX_EVENT_BYTES = 1024 * 1024

/** Whole events, and the id of the last one that has an id. */
export interface EventBatch {
  readonly bytes: Uint8Array
  readonly lastId?: string | undefined
}

/** Splits bytes into whole events; the rest waits for its end. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Takes bytes; returns the whole events among them, if any, without those up to `after`. */
  push (chunk: Uint8Array, after: string | undefined): EventBatch | undefined {
    const data = this.rest.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.rest, chunk])
    const whole: Buffer[] = []
    let lastId: string | undefined
    let start = 0
    for (let end = endOfEvent(data, start); end > 0; end = endOfEvent(data, start)) {
      const event = data.subarray(start, end)
      const id = eventId(event)
      start = end
      if (id !== undefined && after !== undefined && !isLater(id, after)) continue
      whole.push(event)
      lastId = id ?? lastId
    }
    this.rest = start === 0 ? data : data.subarray(start)
    if (whole.length === 0) return undefined
    return { bytes: whole.length === 1 ? whole[0]! : Buffer.concat(whole), lastId }
  }

  /** Bytes of an event that has not ended. */
  get unfinished (): number {
    return this.rest.length
  }
}

// An event ends with an empty line.
function endOfEvent (data: Buffer, start: number): number {
  for (let at = data.indexOf(LF, start); at >= 0; at = data.indexOf(LF, at + 1)) {
    if (data[at + 1] === LF) return at + 2
    if (data[at + 1] === CR && data[at + 2] === LF) return at + 3
  }
  return -1
}

function eventId (event: Buffer): string | undefined {
  return /^id:[ \t]*(\S+)/m.exec(event.toString('latin1'))?.[1]
}

function isLater (id: string, after: string): boolean {
  return Number(id) > Number(after)
}
