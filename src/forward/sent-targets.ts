/** Targets to which one call was sent, and how often it may be sent on. */
import type * as placement from '../placement/index.js'

/** Sends of one call that count: those whose request may have reached a target. */
export class SentTargets {
  private readonly ids = new Set<string>()
  /** Placements whose silent attempt was aborted for another one; the last is used first. */
  private readonly replaced: placement.Placement[] = []
  private counted = 0
  private replacements = 0

  /** `maxTargets` is the highest number of different targets. */
  constructor (private readonly maxTargets: number) {}

  /** Number of sends. */
  get sends (): number {
    return this.counted
  }

  /** Counts a send. */
  add (id: string): void {
    this.counted++
    this.ids.add(id)
  }

  /** Allows no further send. */
  close (): void {
    this.counted = Infinity
  }

  /**
   * Whether a further send is allowed beside `inFlight` others. Each replacement of a silent attempt allows one more than
   * `maxTargets`, so that silence costs no attempt; a call has fewer replacements than `maxTargets`.
   */
  sendsLeft (inFlight: number): boolean {
    return this.counted + inFlight < this.maxTargets + this.replacements
  }

  /** Whether a further send is allowed while a silent attempt could also go on. */
  mayReplace (inFlight: number): boolean {
    return this.counted + inFlight < this.maxTargets
  }

  /** Whether the call may be sent to a target to which it was not sent before. */
  mayAddTarget (inFlight: readonly string[]): boolean {
    return new Set([...this.ids, ...inFlight]).size < this.maxTargets
  }

  has (id: string): boolean {
    return this.ids.has(id)
  }

  /** Notes that the silent attempt of a placement is aborted for another one. */
  noteReplaced (choice: placement.Placement): void {
    this.replacements++
    this.replaced.push(choice)
  }

  /** Takes the last replaced placement whose targets take requests, also while they are paused; each can be taken once. */
  takeReplaced (now: number): placement.Placement | undefined {
    for (let choice = this.replaced.pop(); choice !== undefined; choice = this.replaced.pop()) {
      const { target, prefillTarget, fetchFrom } = choice
      if (![target, prefillTarget, fetchFrom].some((state) => state?.isBarred(now))) return choice
    }
    return undefined
  }
}
