/** Asks for each late call whether it is sent, waits or is refused, and holds the calls that wait. */
import type * as admission from '../admission/index.js'
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import * as placement from '../placement/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as fleetRoom from './fleet-room.js'
import * as heldCall from './held-call.js'
import * as peerWaiting from './peer-waiting.js'
import * as refusedWork from './refused-work.js'
import * as servedObjectives from './served-objectives.js'
import type * as types from './types.js'
import * as waitingCalls from './waiting-calls.js'

/** Bounds of a queue: calls, bytes of bodies, ms, and the share of one account. */
const BOUNDS: types.QueueBounds = { calls: 600, bytes: 16 * 1024 * 1024, waitMs: 10_000, accountShare: 0.5 }

/** Interval at which room is looked for while calls wait, and after a call was sent, in ms. */
const CHECK_MS = 20
const NEXT_CHECK_MS = 1

/** Fixed and random part of a retry-after, and its maximum, in ms; the random part keeps callers from returning together. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_JITTER_MS = 350
const RETRY_AFTER_MAX_MS = 3_000

/** Retry-after of the calls that wait when the process stops, in ms. */
const STOP_RETRY_AFTER_MS = 250

/** Dependencies of the admission. */
export interface CallAdmissionDeps {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  /** Number of gateways, which share the connections of a target. */
  readonly gateways: () => number
  /** Recent work of the accounts. */
  readonly accountWork: Pick<admission.AccountWork, 'excessOf'>
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** The target chosen for a first attempt; without one, or with a positive `lateMs`, the call cannot be answered in time. */
export interface Candidate {
  readonly choice: placement.Placement | undefined
  readonly lateMs: number
}

/** Queue of one pool, and the timer that looks for room. */
interface PoolQueue {
  readonly pool: fleetRoom.Pool
  readonly name: string
  /** As of the first call that waited. */
  readonly service: serving.ServingService
  readonly calls: waitingCalls.WaitingCalls<heldCall.HeldCall>
  readonly refused: refusedWork.RefusedWork
  timer: Disposable | undefined
}

/** Calls at their latest start that are sent in one check, at most: the backlog of the targets is known only after it. */
const MAX_STARTS_PER_CHECK = 3

/** Admission of calls before their first attempt. */
export class CallAdmission {
  /** Topic of the exchange: what waits at the gateways. */
  readonly topic: peerWaiting.PeerWaiting
  private readonly queues = new Map<string, PoolQueue>()
  private readonly objectives = new servedObjectives.ServedObjectives()
  private closed = false

  constructor (private readonly deps: CallAdmissionDeps) {
    this.topic = new peerWaiting.PeerWaiting({ clock: deps.env.clock, ownRows: () => this.rows() })
  }

  /** Undefined when the call is to be sent now; a held call, whose `ended` tells when its wait is over; or a refusal. */
  admit (call: calls.Call, candidate: Candidate): heldCall.HeldCall | errors.Refusal | undefined {
    const now = this.now()
    const pool = this.poolToWaitFor(call, candidate, now)
    if (pool === undefined) {
      if (candidate.choice !== undefined) this.objectives.note(call.service.name, call.route.sloMs, now)
      return undefined
    }
    if (this.closed) return stopping()
    const queue = this.queueOf(pool, call.service)
    const held = new heldCall.HeldCall(call, now, (left) => this.leave(queue, left))
    return this.offer(queue, held, candidate, now)
  }

  /** Retry-after of a call that is refused as it would be `lateMs` too late, in ms. */
  retryAfterMs (call: calls.Call, lateMs: number): number {
    const queue = [...this.queues.values()].find(({ pool }) => pool.service === call.service.name)
    return this.retryAfterFor(queue, call, lateMs, this.now())
  }

  /** Refuses all waiting calls, and those that would wait from now on: the process stops. */
  close (): void {
    this.closed = true
    for (const queue of this.queues.values()) {
      queue.timer?.[Symbol.dispose]()
      queue.timer = undefined
      for (const held of queue.calls.refuse()) {
        this.countRefused(queue, 'stopping')
        held.end(stopping())
      }
    }
  }

  // A call that can meet its objective, or about which too little is known, has none.
  private poolToWaitFor (call: calls.Call, { choice, lateMs }: Candidate, now: number): fleetRoom.Pool | undefined {
    const { service, route, prompt } = call
    if (service.engine === undefined) {
      const inTime = choice !== undefined && lateMs <= 0
      return inTime || !this.deps.fleet.ofService(service.name).some((state) => state.acceptsCalls(now)) ? undefined : { service: service.name }
    }
    if (choice === undefined || prompt === undefined) return undefined
    const late = now + choice.expectedMs > call.arrivedAt + route.sloMs * placement.SLO_TOLERANCE_FACTOR
    // While engines are busy, the placement also defers calls of accounts above their share: they go behind those that wait.
    if (!late && choice.priority === call.priority) return undefined
    const pool = { service: service.name, stage: (choice.prefillTarget ?? choice.target).record.stage ?? 'decode' }
    return late || this.isAwaited(pool) ? pool : undefined
  }

  private isAwaited (pool: fleetRoom.Pool): boolean {
    const queue = this.queues.get(fleetRoom.poolName(pool))
    return queue !== undefined && queue.calls.size > 0
  }

  private offer (queue: PoolQueue, held: heldCall.HeldCall, candidate: Candidate, now: number): heldCall.HeldCall | errors.Refusal | undefined {
    const outlook = this.outlook(queue, now)
    const estimate = estimateOf(queue.pool, candidate, now)
    const decision = queue.calls.offer(held, estimate, outlook, now)
    if (decision.kind === 'send') {
      this.objectives.note(queue.pool.service, held.call.route.sloMs, now)
      return undefined
    }
    const inputs = this.inputs(queue, held, estimate, outlook, now)
    if (decision.kind === 'refuse') {
      this.countRefused(queue, decision.cause)
      const retryAfterMs = this.retryAfterFor(queue, held.call, Math.max(0, candidate.lateMs), now)
      this.deps.log.info({ ...inputs, cause: decision.cause, work_ahead: Math.round(decision.workAhead), retry_after_ms: Math.round(retryAfterMs) }, 'call_not_queued')
      return new errors.Refusal(decision.cause === 'late' || decision.cause === 'queue' ? 'deadline_unreachable' : 'entry_queue_full', { step: 'route', ran: 'no', retryAfterMs })
    }
    this.deps.metrics.count('godwitpoint_waiting_calls_total', `service="${queue.pool.service}"`)
    this.deps.log.info({ ...inputs, work_ahead: Math.round(decision.workAhead), latest_start_ms: Math.round(decision.untilMs - now) }, 'call_waits')
    this.scheduleCheck(queue, NEXT_CHECK_MS)
    return held
  }

  private check (queue: PoolQueue): void {
    queue.timer = undefined
    const now = this.now()
    const outlook = this.outlook(queue, now)
    let next = queue.calls.next(now, outlook)
    // Calls at their latest start need no room, and the last of many would be too late if each were sent in a check of its own.
    for (let ended = 0; next?.cause === 'latest_start' && ended < MAX_STARTS_PER_CHECK; ended++) {
      this.endWait(queue, next, outlook, now)
      next = queue.calls.next(now, outlook)
    }
    if (next !== undefined) this.endWait(queue, next, outlook, now)
    if (queue.calls.size > 0) this.scheduleCheck(queue, next === undefined ? CHECK_MS : NEXT_CHECK_MS)
  }

  private endWait (queue: PoolQueue, { entry, cause }: waitingCalls.Next<heldCall.HeldCall>, outlook: waitingCalls.Outlook, now: number): void {
    const { metrics, log } = this.deps
    const { call: held, offeredAt } = entry
    metrics.count('godwitpoint_sent_after_waiting_total', `service="${queue.pool.service}",cause="${cause}"`)
    metrics.recordDuration('godwitpoint_wait', now - offeredAt, `service="${queue.pool.service}"`)
    log.info({ ...this.inputs(queue, held, entry, outlook, now), cause, waited_ms: Math.round(now - offeredAt) }, 'call_wait_ended')
    held.end(undefined)
  }

  private leave (queue: PoolQueue, held: heldCall.HeldCall): void {
    queue.calls.remove(held)
    this.deps.metrics.count('godwitpoint_left_while_waiting_total', `service="${queue.pool.service}"`)
    this.deps.log.info({ id: held.id, pool: queue.name, waited_ms: Math.round(this.now() - held.heldAt) }, 'call_left_queue')
    if (queue.calls.size > 0) return
    queue.timer?.[Symbol.dispose]()
    queue.timer = undefined
  }

  // The work of the call counts, as its caller is expected to return.
  private retryAfterFor (queue: PoolQueue | undefined, call: calls.Call, lateMs: number, now: number): number {
    const jitterMs = RETRY_AFTER_JITTER_MS * this.deps.env.random.next()
    if (queue === undefined) return RETRY_AFTER_MIN_MS + lateMs + jitterMs
    const account = call.account ?? ''
    queue.refused.add(account, workOf(call), now)
    const rate = queue.calls.workPerMs(this.outlook(queue, now), now, workOf(call))
    const turnMs = rate > 0 ? queue.refused.workBefore(account, now) / rate : RETRY_AFTER_MAX_MS
    return Math.min(RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS + lateMs + turnMs) + jitterMs
  }

  private outlook ({ pool, name, service }: PoolQueue, now: number): waitingCalls.Outlook {
    const inputs = {
      states: this.deps.fleet.ofService(pool.service),
      maxRunning: placement.connectionShare(service, this.deps.gateways()),
      objectiveMs: this.objectives.shortestMs(pool.service, now)
    }
    return { room: fleetRoom.readRoom(pool, inputs, now), others: this.topic.others(name), random: this.deps.env.random.next() }
  }

  private inputs (queue: PoolQueue, held: heldCall.HeldCall, { work, ownMs }: types.Estimate, { room, others }: waitingCalls.Outlook, now: number): object {
    return {
      id: held.id,
      route: held.call.route.name,
      pool: queue.name,
      priority: held.priority,
      work: Math.round(work),
      own_ms: Math.round(ownMs),
      objective_ms: Math.round(held.objectiveAt - now),
      limit_ms: Math.round(held.limitAt - now),
      backlog_ms: Math.round(room.backlogMs),
      room: room.free,
      waiting: queue.calls.size,
      waiting_elsewhere: Math.round(others.workAbove(Infinity))
    }
  }

  private rows (): peerWaiting.WaitingRow[] {
    const now = this.now()
    return [...this.queues.values()].flatMap(({ name, calls }) => calls.totals(now).map(({ level, calls: count, work }): peerWaiting.WaitingRow => [name, level, count, Math.round(work)]))
  }

  private queueOf (pool: fleetRoom.Pool, service: serving.ServingService): PoolQueue {
    const name = fleetRoom.poolName(pool)
    let queue = this.queues.get(name)
    if (queue === undefined) {
      const excessOf = (account: string): number => account === '' ? 0 : this.deps.accountWork.excessOf(account)
      queue = { pool, name, service, calls: new waitingCalls.WaitingCalls({ bounds: BOUNDS, excessOf }), refused: new refusedWork.RefusedWork(), timer: undefined }
      this.queues.set(name, queue)
    }
    return queue
  }

  private scheduleCheck (queue: PoolQueue, delayMs: number): void {
    queue.timer?.[Symbol.dispose]()
    queue.timer = this.deps.env.timers.after(delayMs, () => this.check(queue))
  }

  private countRefused ({ pool }: PoolQueue, reason: types.RefusalCause | 'stopping'): void {
    this.deps.metrics.count('godwitpoint_waiting_refused_total', `service="${pool.service}",reason="${reason}"`)
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}

/** Work of a call before a target is known. */
function workOf ({ prompt, service }: calls.Call): number {
  return service.engine === undefined ? 1 : prompt?.promptTokens ?? 1
}

/** Work of a call, and its time at a target without backlog. */
function estimateOf ({ stage }: fleetRoom.Pool, { choice }: Candidate, now: number): types.Estimate {
  if (stage === undefined || choice === undefined) return { work: 1, ownMs: placement.PLAIN_CALL_MS }
  const first = choice.prefillTarget ?? choice.target
  const backlogMs = first.prefillTokensAhead() / first.prefillTokensPerMs(now)
  return { work: Math.max(1, choice.prefillTokens ?? 0), ownMs: Math.max(0, choice.expectedMs - backlogMs) }
}

function stopping (): errors.Refusal {
  return new errors.Refusal('entry_stopping', { step: 'route', ran: 'no', retryAfterMs: STOP_RETRY_AFTER_MS })
}
