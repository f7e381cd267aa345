/** Splits an event stream (SSE) into complete events. */

const LF = 10
const CR = 13

/** Longest event, in bytes; a longer one fails the attempt. */
export const MAX_EVENT_BYTES = 1024 * 1024

/** Complete events, the id of the last one that has an id, and whether all that carry data have one. */
export interface EventBatch {
  readonly bytes: Uint8Array
  readonly lastId?: string | undefined
  readonly allHaveIds: boolean
}

/** Splits bytes into complete events and buffers a partial event until it is complete. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0)

  /** Adds bytes; returns the events that they complete, if any, without those whose id is not later than `after`. */
  push (chunk: Uint8Array, after: string | undefined): EventBatch | undefined {
    const data = this.partialEvent.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.partialEvent, chunk])
    const events: Buffer[] = []
    let lastId: string | undefined
    let allHaveIds = true
    let start = 0
    for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
      const event = data.subarray(start, end)
      const id = parseEventId(event)
      start = end
      if (id !== undefined && after !== undefined && !isLater(id, after)) continue
      events.push(event)
      if (id === undefined && hasData(event)) allHaveIds = false
      lastId = id ?? lastId
    }
    this.partialEvent = start === 0 ? data : data.subarray(start)
    if (events.length === 0) return undefined
    return { bytes: events.length === 1 ? events[0]! : Buffer.concat(events), lastId, allHaveIds }
  }

  /** Buffered bytes of an event that is not complete. */
  get pendingBytes (): number {
    return this.partialEvent.length
  }
}

// An event ends with an empty line.
function findEventEnd (data: Buffer, start: number): number {
  for (let lineEnd = data.indexOf(LF, start); lineEnd >= 0; lineEnd = data.indexOf(LF, lineEnd + 1)) {
    if (data[lineEnd + 1] === LF) return lineEnd + 2
    if (data[lineEnd + 1] === CR && data[lineEnd + 2] === LF) return lineEnd + 3
  }
  return -1
}

function parseEventId (event: Buffer): string | undefined {
  return /^id:[ \t]*(\S+)/m.exec(event.toString('latin1'))?.[1]
}

function hasData (event: Buffer): boolean {
  return /^data(?::|\r?$)/m.test(event.toString('latin1'))
}

function isLater (id: string, after: string): boolean {
  return Number(id) > Number(after)
}
