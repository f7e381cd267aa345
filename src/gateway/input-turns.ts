/** Divides the time for parsing among connections whose input is costly to parse. */

/** Work of one turn of the event loop, in units of {@link BODY_CHUNK_WORK}: about 1 ms, after which other events are handled. */
const TURN_WORK = 1_000

/** Work of parsing a chunk of a body, and of beginning a request. */
export const BODY_CHUNK_WORK = 1
export const REQUEST_WORK = 64

/** Input that was received and not parsed. */
export interface ParserInput {
  /** Whether some of it may be parsed now. */
  readonly ready: boolean
  /** Parses a part of it; returns the work that this was. */
  parseNext: () => number
}

/** Parses the waiting inputs in turn, a bounded amount for each turn of the event loop. */
export class InputTurns {
  private readonly waiting = new Set<ParserInput>()
  private scheduled = false

  /** Parses an input once its turn has come. */
  add (input: ParserInput): void {
    this.waiting.add(input)
    this.schedule()
  }

  remove (input: ParserInput): void {
    this.waiting.delete(input)
  }

  private schedule (): void {
    if (this.scheduled || this.waiting.size === 0) return
    this.scheduled = true
    setImmediate(() => this.run())
  }

  private run (): void {
    this.scheduled = false
    let work = 0
    for (const input of this.waiting) {
      this.waiting.delete(input)
      if (!input.ready) continue
      work += input.parseNext()
      if (input.ready) this.waiting.add(input)
      if (work >= TURN_WORK) break
    }
    this.schedule()
  }
}
