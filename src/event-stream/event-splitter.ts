/** Splits an event stream (SSE) into complete events. */
import * as bytes from '../bytes/index.js'

const LF = 10
const CR = 13

/** Complete events, the id of the last one that has an id, and whether all that carry data have one. */
export interface EventBatch {
  readonly bytes: Uint8Array
  readonly lastId?: string | undefined
  readonly allHaveIds: boolean
}

/** What the bytes before the next one allow: an event ends with an empty line, which may consist of a CR. */
type LineState = 'in_line' | 'at_line_start' | 'after_cr'

/** Splits bytes into complete events and buffers a partial event until it is complete. Each byte is searched once. */
export class EventSplitter implements Disposable {
  private readonly partialEvent: bytes.ByteCollector
  private lineState: LineState = 'in_line'
  private tooLong = false

  /** `maxEventBytes` limits an event that arrives in several pieces; what is buffered counts in `memory`. */
  constructor (maxEventBytes: number, memory?: bytes.ByteBudget) {
    this.partialEvent = new bytes.ByteCollector(maxEventBytes, memory)
  }

  /** Adds bytes; returns the events that they complete, if any, without those whose id is not later than `after`. */
  push (chunk: Uint8Array, after: string | undefined): EventBatch | undefined {
    const data = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
    const events: Buffer[] = []
    let lastId: string | undefined
    let allHaveIds = true
    let start = 0
    for (let end = this.findEventEnd(data, start); end > 0; end = this.findEventEnd(data, start)) {
      const event = this.completeEvent(data.subarray(start, end))
      if (event === undefined) break
      const id = parseEventId(event)
      start = end
      if (id !== undefined && after !== undefined && !isLater(id, after)) continue
      events.push(event)
      if (id === undefined && hasData(event)) allHaveIds = false
      lastId = id ?? lastId
    }
    if (start < data.length && !this.tooLong) this.buffer(data.subarray(start))
    if (events.length === 0) return undefined
    return { bytes: events.length === 1 ? events[0]! : Buffer.concat(events), lastId, allHaveIds }
  }

  /** Buffered bytes of an event that is not complete. */
  get pendingBytes (): number {
    return this.partialEvent.length
  }

  /** Whether an event exceeded the size limit; no further events are returned then. */
  get isTooLong (): boolean {
    return this.tooLong
  }

  [Symbol.dispose] (): void {
    this.partialEvent[Symbol.dispose]()
  }

  private completeEvent (rest: Buffer): Buffer | undefined {
    if (this.tooLong) return undefined
    if (this.partialEvent.length === 0) return rest
    this.buffer(rest)
    return this.tooLong ? undefined : this.partialEvent.take()
  }

  private buffer (piece: Buffer): void {
    if (!this.partialEvent.add(piece)) this.tooLong = true
  }

  /** Position after the event that ends first in `data`, from `start` on; -1 when none ends there. */
  private findEventEnd (data: Buffer, start: number): number {
    for (let position = start; position < data.length;) {
      const byte = data[position]
      if (this.lineState !== 'in_line' && byte === LF) {
        this.lineState = 'in_line'
        return position + 1
      }
      if (this.lineState === 'at_line_start' && byte === CR) {
        this.lineState = 'after_cr'
        position++
        continue
      }
      const lineEnd = data.indexOf(LF, position)
      this.lineState = lineEnd < 0 ? 'in_line' : 'at_line_start'
      if (lineEnd < 0) return -1
      position = lineEnd + 1
    }
    return -1
  }
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
