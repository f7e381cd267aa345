/** Calls of one account with a quota through the gateways of a region, in virtual time. */
import * as errors from '../../src/errors/index.js'
import * as quota from '../../src/quota/index.js'
import type * as serving from '../../src/serving/index.js'
import * as gatewayRegion from './gateway-region.js'

export const ACCOUNT = 'acc'

/** Longest time from the write of a call to its execution, and from that to the report that it was not executed, in ms. */
const MAX_TRANSIT_MS = 250
const REPORT_MS = 300

/** Time from the admission to the first send in ms, sends that targets reject, and whether the caller leaves before the first one. */
export interface CallCourse {
  readonly waitMs?: number
  readonly rejections?: number
  readonly leaves?: boolean
}

export function aQuota (ratePerS: number, burst = ratePerS): serving.AccountQuota {
  return { unit: 'tokens', ratePerMs: ratePerS / 1_000, burst, plainTokens: 200 }
}

export class QuotaSite {
  readonly region = new gatewayRegion.Region()
  /** Executed calls in the order of their execution. */
  readonly executions: Array<{ readonly at: number, readonly cost: number }> = []
  /** Retry-after of the refused calls, in ms. */
  readonly refusals: number[] = []
  private config: serving.ServingAccount[] = []
  private starts = 0

  constructor (bounds: quota.QuotaBounds, gateways: number) {
    this.region.quotaBounds = bounds
    for (let index = 0; index < gateways; index++) this.start(`g${index}`)
  }

  get gateways (): gatewayRegion.RegionGateway[] {
    return [...this.region.gateways.values()]
  }

  start (name: string): void {
    this.region.start(name, `i${this.starts++}`, `d${Number(name.slice(1)) % 3}`).quotas.applyConfig(this.config)
  }

  /** Ends a process, and starts it again after a while. */
  restart (name: string, afterMs: number): void {
    const gateway = this.region.gateways.get(name)
    if (gateway?.running !== true) return
    gateway.running = false
    this.region.virtual.after(afterMs, () => this.start(name))
  }

  /** Puts a quota in force: at each gateway within `withinMs`. */
  setQuota (accountQuota: serving.AccountQuota, withinMs = 0): void {
    const config = [{ name: ACCOUNT, keys: [], quota: accountQuota }]
    this.config = config
    for (const gateway of this.gateways) this.region.virtual.after(this.region.random.next() * withinMs, () => { if (config === this.config) gateway.quotas.applyConfig(config) })
  }

  /** Sends a call through a gateway. */
  run (gateway: gatewayRegion.RegionGateway, tokens: number, course: CallCourse = {}): void {
    const admit = async (): Promise<void> => {
      const admitted = await gateway.quotas.admit(ACCOUNT, tokens)
      if (admitted instanceof errors.Refusal) this.refusals.push(admitted.detail.retryAfterMs!)
      else if (admitted !== undefined) this.region.virtual.after(course.waitMs ?? 0, () => gateway.do(() => this.send(gateway, admitted, tokens, course)))
    }
    gateway.do(() => { admit().catch((err: unknown) => { throw err }) })
  }

  /** Sum of a counter of the quotas over all gateways. */
  counter (name: string, outcome: string): number {
    return this.gateways.reduce((sum, { metrics }) => sum + metrics.counter(`godwitpoint_quota_${name}_total`, `outcome="${outcome}"`), 0)
  }

  private send (gateway: gatewayRegion.RegionGateway, credit: quota.ChargedCall, tokens: number, course: CallCourse): void {
    const { region: { virtual, random } } = this
    const { rejections = 0, leaves = false } = course
    if (leaves || !credit.mayWrite()) gateway.quotas.end(credit, undefined)
    else if (rejections === 0) {
      virtual.after(random.next() * MAX_TRANSIT_MS, () => this.executions.push({ at: virtual.now(), cost: tokens }))
      gateway.quotas.end(credit, undefined)
    } else {
      virtual.after(random.next() * MAX_TRANSIT_MS + REPORT_MS, () => gateway.do(() => {
        credit.noteNotExecuted()
        this.send(gateway, credit, tokens, { rejections: rejections - 1 })
      }))
    }
  }
}
