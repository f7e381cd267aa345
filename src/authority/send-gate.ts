/** Tracks sends in flight, so that a former lease holder can confirm that it will send nothing more. */

/** Admits the sends of this process, by scope and fencing token. */
export class SendGate {
  private readonly minFences = new Map<string, number>()
  private readonly inFlight = new Map<string, number[]>()

  /** Registers a send until disposed; `undefined` when a higher fencing token has been announced for the scope. */
  enter (scope: string, fence: number): Disposable | undefined {
    if (this.isRetired(scope, fence)) return undefined
    const fences = this.inFlight.get(scope) ?? []
    this.inFlight.set(scope, fences)
    fences.push(fence)
    return { [Symbol.dispose]: () => { this.exit(scope, fences, fence) } }
  }

  /** Rejects all sends with fencing tokens below `fence` from now on; true when none of them is in flight. */
  retire (scope: string, fence: number): boolean {
    this.minFences.set(scope, Math.max(fence, this.minFences.get(scope) ?? 0))
    return !(this.inFlight.get(scope) ?? []).some((inFlightFence) => inFlightFence < fence)
  }

  /** Whether a fencing token above `fence` has been announced. */
  isRetired (scope: string, fence: number): boolean {
    return fence < (this.minFences.get(scope) ?? 0)
  }

  /** Whether no send for the scope is in flight. */
  isIdle (scope: string): boolean {
    return !this.inFlight.has(scope)
  }

  private exit (scope: string, fences: number[], fence: number): void {
    const index = fences.indexOf(fence)
    if (index >= 0) fences.splice(index, 1)
    if (fences.length === 0) this.inFlight.delete(scope)
  }
}
