/** Writes log lines without ever blocking on their reader. */
import * as fs from 'node:fs'
import type * as time from '../time/index.js'

/** Characters buffered for a reader that does not keep up; further lines are dropped. */
const MAX_PENDING_CHARS = 256 * 1024

/** Time for which lines are collected into one write, in ms. */
const BATCH_DELAY_MS = 100

/** Dependencies of a writer. */
export interface BoundedWriterDeps {
  readonly timers: time.Timers
  /** Called with the number of dropped lines; a write that fails counts as one. */
  readonly onDrop: (lines: number) => void
}

/** Writes lines to a file descriptor in the background, one write at a time. */
export class BoundedWriter {
  private pendingLines: string[] = []
  private pendingChars = 0
  private writing = false
  private scheduled = false
  private droppedLines = 0

  constructor (private readonly fd: number, private readonly deps: BoundedWriterDeps) {}

  /** Buffers a line. Returns false when the buffer is full and the line was dropped. */
  write (line: string): boolean {
    if (this.pendingChars + line.length > MAX_PENDING_CHARS) {
      this.droppedLines++
      this.deps.onDrop(1)
      return false
    }
    if (this.droppedLines > 0) this.addDropNotice()
    this.pendingLines.push(line)
    this.pendingChars += line.length
    this.schedule()
    return true
  }

  /** Writes the buffered lines synchronously, before the process ends; does nothing while a write is in progress. */
  flushSync (): void {
    if (this.writing || this.pendingLines.length === 0) return
    try {
      fs.writeSync(this.fd, this.takePending())
    } catch {
      // The reader has closed the descriptor or does not read: the lines are lost either way, and the process ends.
      this.deps.onDrop(1)
    }
  }

  private addDropNotice (): void {
    const line = `level=warn event=log_lines_dropped count=${this.droppedLines}\n`
    this.pendingLines.push(line)
    this.pendingChars += line.length
    this.droppedLines = 0
  }

  private schedule (): void {
    if (this.scheduled || this.writing) return
    this.scheduled = true
    this.deps.timers.after(BATCH_DELAY_MS, () => {
      this.scheduled = false
      this.flush()
    })
  }

  private flush (): void {
    if (this.writing || this.pendingLines.length === 0) return
    this.writing = true
    this.writeAll(Buffer.from(this.takePending()))
  }

  private writeAll (bytes: Buffer): void {
    fs.write(this.fd, bytes, 0, bytes.length, null, (err, written) => {
      if (err === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written))
        return
      }
      if (err !== null) this.deps.onDrop(1)
      this.writing = false
      if (this.pendingLines.length > 0) this.schedule()
    })
  }

  private takePending (): string {
    const text = this.pendingLines.join('')
    this.pendingLines = []
    this.pendingChars = 0
    return text
  }
}
