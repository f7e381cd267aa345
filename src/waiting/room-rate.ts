/** Rate at which room for waiting calls comes back at the targets of a pool, measured while calls wait. */

/** Time constant of the decay, in ms of waiting. */
const AVERAGING_MS = 2_000

/** Weight of the capacity of the targets, in ms: it counts until the rate was measured for about as long. */
const PRIOR_MS = 300

/**
 * Decaying sums of the work by which the backlog of the targets fell, apart from the waiting calls that were sent, and of
 * the time in which calls waited. What others send to the targets meanwhile lowers the rate.
 */
export class RoomRate {
  private freedWork = 0
  private busyMs = 0
  private sentWork = 0
  private observedAt = 0
  /** Backlog at the last observation; undefined while no call waited then. */
  private backlogWork: number | undefined

  /** Notes the backlog of the targets at `now`; `waiting` tells whether calls wait. */
  observe (now: number, waiting: boolean, backlogWork: number): void {
    if (this.backlogWork !== undefined) {
      const elapsedMs = now - this.observedAt
      const decay = Math.exp(-elapsedMs / AVERAGING_MS)
      this.freedWork = this.freedWork * decay + this.backlogWork - backlogWork + this.sentWork
      this.busyMs = this.busyMs * decay + elapsedMs
    }
    this.sentWork = 0
    this.observedAt = now
    this.backlogWork = waiting ? backlogWork : undefined
  }

  /** Adds work of a waiting call that was sent; it counts in the backlog of the next observation. */
  addSent (work: number): void {
    this.sentWork += work
  }

  /** Work per ms; `capacity` is what the targets can do for this gateway at most. */
  workPerMs (capacity: number): number {
    return Math.min(capacity, Math.max(0, (this.freedWork + capacity * PRIOR_MS) / (this.busyMs + PRIOR_MS)))
  }
}
