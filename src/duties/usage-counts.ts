/** Counts of requests that began to execute, by process, window and account. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Number of windows whose counts are retained, the current one included; older ones have been closed. */
const RETAINED_WINDOWS = 5

/** Time from the end of a window to its closing, in ms: by then every process has written its counts twice. */
const CLOSE_DELAY_MS = 3_200

/** Last window that is due to be closed at a wall-clock time, in ms. */
export function lastDueWindow (wallTimeMs: number, windowMs: number): number {
  return Math.floor((wallTimeMs - CLOSE_DELAY_MS) / windowMs) - 1
}

/** Counts of one process by window number and account. */
export const WindowCounts = validation.record(z.string(), validation.record(z.string(), z.int()))
export type WindowCounts = z.infer<typeof WindowCounts>

/** Counts of several processes, by the name of the process. */
export const ProcessCounts = validation.record(z.string(), WindowCounts)
export type ProcessCounts = z.infer<typeof ProcessCounts>

interface HeldCounts {
  windows: WindowCounts
  /** Position of the last change. */
  position: number
}

/** Counts of this process and of those that tell it theirs; positions count the changes. */
export class UsageCounts {
  private readonly processes = new Map<string, HeldCounts>()
  private changes = 0

  /** Number of changes so far. */
  get position (): number {
    return this.changes
  }

  /** Counts one request of a process. */
  count (process: string, window: number, account: string): void {
    const held = this.hold(process)
    const counts = held.windows[window] ??= {}
    counts[account] = (counts[account] ?? 0) + 1
    held.position = ++this.changes
  }

  /** Takes the counts that a process tells, possibly through another one and late: counts only grow. */
  merge (process: string, windows: WindowCounts): void {
    const held = this.hold(process)
    mergeWindows(held.windows, windows)
    held.position = ++this.changes
  }

  /** Counts of one process. */
  of (process: string): WindowCounts {
    return this.processes.get(process)?.windows ?? {}
  }

  /** Counts of the processes that changed after a position. */
  since (position: number): ProcessCounts {
    return Object.fromEntries([...this.processes].filter(([, held]) => held.position > position).map(([name, held]) => [name, held.windows]))
  }

  /** Drops windows that were closed before `currentWindow`, and processes without any other. */
  dropOld (currentWindow: number): void {
    for (const [name, held] of this.processes) {
      held.windows = Object.fromEntries(Object.entries(held.windows).filter(([window]) => Number(window) > currentWindow - RETAINED_WINDOWS))
      if (Object.keys(held.windows).length === 0) this.processes.delete(name)
    }
  }

  private hold (process: string): HeldCounts {
    let held = this.processes.get(process)
    if (held === undefined) {
      held = { windows: {}, position: 0 }
      this.processes.set(process, held)
    }
    return held
  }
}

/** Merges counts of one process into others of it: counts only grow, so the higher of two is the later one. */
export function mergeWindows (into: WindowCounts, windows: WindowCounts): void {
  for (const [window, counts] of Object.entries(windows)) {
    const merged = into[window] ??= {}
    for (const [account, count] of Object.entries(counts)) merged[account] = Math.max(merged[account] ?? 0, count)
  }
}
