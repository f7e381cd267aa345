/** Builders of calls, routes and targets, and test doubles, for unit tests of the gateway. */
import type * as calls from '../../src/call/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as serving from '../../src/serving/index.js'
import type * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'

export function aRoute (overrides: Partial<serving.ServingRoute> = {}): serving.ServingRoute {
  return {
    name: 'r',
    host: 'h',
    path: '/a/',
    idempotency: 'idempotent',
    streaming: false,
    timeoutMs: 5_000,
    sloMs: 200,
    gapSloMs: Infinity,
    callerIdleTimeoutMs: 5_000,
    priority: 2,
    shares: [{ service: 's', weight: 1 }],
    maxTargets: 2,
    open: false,
    ...overrides
  }
}

export function aService (overrides: Partial<serving.ServingService> = {}): serving.ServingService {
  return { name: 's', maxConnections: 100, ...overrides }
}

export function aConfig (overrides: Partial<serving.ServingConfig> = {}): serving.ServingConfig {
  return {
    version: 1,
    routes: [aRoute()],
    services: new Map([['s', aService()]]),
    limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    accounts: [{ name: 'acc', keys: ['k1'] }],
    ...overrides
  }
}

export function aTarget (id: string, overrides: Partial<serving.TargetRecord> = {}): serving.TargetRecord {
  return { id, service: 's', address: `10.0.0.1:${id.length}${id.charCodeAt(0)}`, domain: 'd1', slots: 4, leaving: false, preemptible: false, startedAt: 1, ...overrides }
}

export function aCall (overrides: Partial<calls.Call> = {}): calls.Call {
  return {
    id: 'c1',
    method: 'POST',
    path: '/a/x',
    headers: [],
    body: new Uint8Array(0),
    route: aRoute(),
    service: aService(),
    configVersion: 1,
    account: 'acc',
    priority: 2,
    arrivedAt: 0,
    deadlineAt: 5_000,
    checkAuthorization: () => undefined,
    ...overrides
  }
}

export function aFleet (clock: time.Clock, records: readonly serving.TargetRecord[]): fleet.Fleet {
  const created = new fleet.Fleet({ clock, log: log.SILENT_LOGGER, onRemoved: () => {} })
  created.apply(records)
  return created
}

/** A reply that records what was sent. */
export class RecordedReply implements calls.Reply {
  started = false
  status: number | undefined
  text = ''
  state: 'open' | 'ended' | 'aborted' = 'open'

  send (head: calls.ResponseHead, body: Uint8Array): void {
    this.start(head)
    this.write(body)
    this.end()
  }

  start (head: calls.ResponseHead): void {
    if (this.started) throw new Error('the head of this response was already sent')
    this.started = true
    this.status = head.status
  }

  write (chunk: Uint8Array): boolean {
    this.text += Buffer.from(chunk).toString()
    return true
  }

  end (): void {
    this.state = 'ended'
  }

  abort (): void {
    this.state = 'aborted'
  }

  onDrain (fn: () => void): void {
    fn()
  }
}

/** A send recorded by a scripted upstream. */
export interface RecordedSend {
  readonly req: upstream.SendReq
  readonly handler: upstream.ResponseHandler
  aborted: boolean
}

/** An upstream whose responses are given by the test. */
export class ScriptedUpstream implements upstream.Upstream {
  readonly sends: RecordedSend[] = []

  send (req: upstream.SendReq, handler: upstream.ResponseHandler): upstream.ActiveRequest {
    const recorded: RecordedSend = { req, handler, aborted: false }
    this.sends.push(recorded)
    return { written: true, reused: false, abort: () => { recorded.aborted = true }, pause: () => {}, resume: () => {} }
  }
}
