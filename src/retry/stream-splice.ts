/** Joins the chunks of several attempts into one response without gaps or duplicate tokens. */
import type { Piece } from '../schema/index.js'

/** The response so far, and the attempt that may extend it. */
export class StreamSplice {
  private currentAttempt: string | undefined
  private firstIndex = 0
  private readonly texts: string[] = []

  /** Number of chunks accepted so far. */
  get length (): number {
    return this.texts.length
  }

  /** The text so far. */
  get text (): string {
    return this.texts.join('')
  }

  /** The text of the first `count` chunks. */
  textOfFirst (count: number): string {
    return this.texts.slice(0, count).join('')
  }

  /** Accepts only chunks of `attempt` from now on; its chunk 0 is chunk `firstIndex` of the response. */
  begin (attempt: string, firstIndex: number): void {
    this.currentAttempt = attempt
    this.firstIndex = firstIndex
  }

  /** Ignores all further chunks of an attempt. */
  end (attempt: string): void {
    if (this.currentAttempt === attempt) this.currentAttempt = undefined
  }

  /** Adds a chunk and returns its text if it is the next one of the current attempt; else returns `undefined`. */
  accept (attempt: string, piece: Piece): string | undefined {
    if (attempt !== this.currentAttempt || this.firstIndex + piece.index !== this.texts.length) return undefined
    this.texts.push(piece.text)
    return piece.text
  }
}
