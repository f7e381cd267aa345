/** Orders and releases targets at the platform, each exactly once. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { IntentSender } from '../orders/index.js'
import type { OrderedTarget, OrderError, TargetOrdering } from '../external/index.js'
import type { Intent } from '../schema/index.js'

/** Attempts at an order in one call; a later run continues with the same token. */
const MAX_ATTEMPTS = 3

/** Rejections stored until they are consumed; beyond, the oldest is dropped. */
const MAX_REJECTIONS = 256

/** Why the platform rejected an order. */
export type Rejection = 'out_of_stock' | 'refused'

/** Sends target orders with the intent's id as their token, so that a successor that sends one again orders nothing more. */
export class TargetOrderSender implements IntentSender {
  private readonly rejections = new Map<string, Rejection>()

  constructor (private readonly ordering: TargetOrdering, private readonly metrics: Metrics) {}

  async send (intent: Intent): Promise<Result<void, StepError>> {
    for (let attempt = 1; ; attempt++) {
      const sent = await this.sendOnce(intent)
      if (sent.ok) return sent
      const { kind, message } = sent.val
      if (kind === 'out_of_stock' || kind === 'refused') return this.reject(intent.id, kind)
      if (kind !== 'unknown' || attempt >= MAX_ATTEMPTS) return Err(new StepError('order', 'platform', message))
      this.metrics.countRetry('store_reply_lost')
      const confirmed = await this.confirm(intent)
      if (confirmed.err) return confirmed
      if (confirmed.val) return Ok(undefined)
    }
  }

  /** Whether the order took effect, according to the platform's list, or was rejected for good. */
  async confirm (intent: Intent): Promise<Result<boolean, StepError>> {
    if (this.rejections.has(intent.id)) return Ok(true)
    const listed = await this.ordering.list()
    if (listed.err) return Err(new StepError('confirm', 'platform', listed.val.message))
    if (intent.body.type === 'order_target') return Ok(listed.val.some((target) => target.token === intent.id))
    const target = listed.val.find(({ name }) => name === intent.subject)
    return Ok(target === undefined || target.state === 'released')
  }

  /** Returns why an order was rejected, and forgets it. */
  consumeRejection (id: string): Rejection | undefined {
    const rejection = this.rejections.get(id)
    this.rejections.delete(id)
    return rejection
  }

  private async sendOnce (intent: Intent): Promise<Result<void, OrderError>> {
    const { body, id, fence, subject } = intent
    if (body.type === 'order_target') {
      const placed = await this.ordering.order({ token: id, service: body.service, domain: body.domain, priceClass: body.price_class, fence })
      return placed.map(() => undefined)
    }
    if (body.type !== 'release_target') throw new Error(`intent ${id} is not a target order`)
    const listed = await this.ordering.list()
    if (listed.err) return listed
    const target: OrderedTarget | undefined = listed.val.find(({ name }) => name === subject)
    if (target === undefined || target.state === 'released') return Ok(undefined)
    return await this.ordering.release(subject, target.token, fence)
  }

  private reject (id: string, kind: Rejection): Result<void, StepError> {
    if (this.rejections.size >= MAX_REJECTIONS) this.rejections.delete(this.rejections.keys().next().value!)
    this.rejections.set(id, kind)
    this.metrics.count('godwitpoint_target_orders_rejected_total', `reason="${kind}"`)
    return Ok(undefined)
  }
}
