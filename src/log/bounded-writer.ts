/** Writes log lines without ever waiting for their reader. */
import * as fs from 'node:fs'
import type * as time from '../time/index.js'

/** Bytes held for a reader that does not keep up; later lines are dropped. */
const MAX_HELD_BYTES = 256 * 1024

/** Time for which lines are gathered into one write, in ms. */
const GATHER_MS = 100

/** What a writer needs from its surroundings. */
export interface BoundedWriterDeps {
  readonly timers: time.Timers
  /** Called with the number of lines that were dropped. */
  readonly onDrop: (lines: number) => void
}

/** Appends lines to a file descriptor in the background, one write at a time. */
export class BoundedWriter {
  private held: string[] = []
  private heldBytes = 0
  private busy = false
  private scheduled = false
  private dropped = 0

  constructor (private readonly fd: number, private readonly deps: BoundedWriterDeps) {}

  /** Takes a line; drops it when too much is held. */
  write (line: string): boolean {
    if (this.heldBytes + line.length > MAX_HELD_BYTES) {
      this.dropped++
      this.deps.onDrop(1)
      return false
    }
    if (this.dropped > 0) this.noteDropped()
    this.held.push(line)
    this.heldBytes += line.length
    this.schedule()
    return true
  }

  /** Writes what is held now; for the end of a process. */
  flushSync (): void {
    if (this.busy || this.held.length === 0) return
    try {
      fs.writeSync(this.fd, this.take())
    } catch {
      // The reader is gone, or takes nothing now: the lines are lost either way, and the process ends.
      this.deps.onDrop(1)
    }
  }

  private noteDropped (): void {
    const line = `level=warn event=log_lines_dropped count=${this.dropped}\n`
    this.held.push(line)
    this.heldBytes += line.length
    this.dropped = 0
  }

  private schedule (): void {
    if (this.scheduled || this.busy) return
    this.scheduled = true
    this.deps.timers.after(GATHER_MS, () => {
      this.scheduled = false
      this.flush()
    })
  }

  private flush (): void {
    if (this.busy || this.held.length === 0) return
    this.busy = true
    this.append(Buffer.from(this.take()))
  }

  private append (bytes: Buffer): void {
    fs.write(this.fd, bytes, 0, bytes.length, null, (err, written) => {
      if (err === null && written < bytes.length) {
        this.append(bytes.subarray(written))
        return
      }
      if (err !== null) this.deps.onDrop(1)
      this.busy = false
      if (this.held.length > 0) this.schedule()
    })
  }

  private take (): string {
    const text = this.held.join('')
    this.held = []
    this.heldBytes = 0
    return text
  }
}
