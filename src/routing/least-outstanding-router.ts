/** Baseline routing by least outstanding requests: the target with the fewest attempts in flight from this entry. */
import type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'

/** Counts attempts in flight; ignores load reports and caches. */
export class LeastOutstandingRouter implements Router {
  private targets: readonly RoutedTarget[] = []
  private readonly targetByAttempt = new Map<string, string>()
  private readonly inFlight = new Map<string, number>()

  setTargets (targets: readonly RoutedTarget[]): void {
    this.targets = targets
  }

  choose (req: RouteReq): RouteChoice | undefined {
    const usable = this.targets.filter((target) => target.service === req.service && !target.leaving && !req.exclude.has(target.name))
    const target = usable.reduce<RoutedTarget | undefined>((least, next) => (
      least === undefined || this.inFlightAt(next) < this.inFlightAt(least) ? next : least
    ), undefined)
    return target === undefined ? undefined : { target }
  }

  noteSent (attempt: string, target: string): void {
    this.targetByAttempt.set(attempt, target)
    this.inFlight.set(target, (this.inFlight.get(target) ?? 0) + 1)
  }

  noteFinished (attempt: string, _outcome: AttemptOutcome): void {
    const target = this.targetByAttempt.get(attempt)
    if (target === undefined) return
    this.targetByAttempt.delete(attempt)
    this.inFlight.set(target, (this.inFlight.get(target) ?? 1) - 1)
  }

  applyLoad (): void {}

  applyCache (): void {}

  private inFlightAt (target: RoutedTarget): number {
    return this.inFlight.get(target.name) ?? 0
  }
}
