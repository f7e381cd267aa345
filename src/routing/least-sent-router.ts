/** Baseline routing: the usable target with the fewest attempts in flight from this entry. */
import type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'

/** Counts attempts in flight; ignores load reports and caches. */
export class LeastSentRouter implements Router {
  private targets: readonly RoutedTarget[] = []
  private readonly attempts = new Map<string, string>()
  private readonly inFlight = new Map<string, number>()

  setTargets (targets: readonly RoutedTarget[]): void {
    this.targets = targets
  }

  choose (need: RouteReq): RouteChoice | undefined {
    const usable = this.targets.filter((target) => target.service === need.service && !target.leaving && !need.exclude.has(target.name))
    const target = usable.reduce<RoutedTarget | undefined>((best, next) => (
      best === undefined || this.load(next) < this.load(best) ? next : best
    ), undefined)
    return target === undefined ? undefined : { target }
  }

  noteSent (attempt: string, target: string): void {
    this.attempts.set(attempt, target)
    this.inFlight.set(target, (this.inFlight.get(target) ?? 0) + 1)
  }

  noteFinished (attempt: string, _outcome: AttemptOutcome): void {
    const target = this.attempts.get(attempt)
    if (target === undefined) return
    this.attempts.delete(attempt)
    this.inFlight.set(target, (this.inFlight.get(target) ?? 1) - 1)
  }

  applyLoad (): void {}

  applyCache (): void {}

  private load (target: RoutedTarget): number {
    return this.inFlight.get(target.name) ?? 0
  }
}
