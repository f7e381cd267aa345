/** Builders of calls, routes and targets for tests of the gateway's parts. */
import type * as calls from '../../src/call/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as serving from '../../src/serving/index.js'
import type * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'

export function aRoute (over: Partial<serving.ServingRoute> = {}): serving.ServingRoute {
  return {
    name: 'r',
    host: 'h',
    path: '/a/',
    idempotency: 'idempotent',
    streaming: false,
    timeoutMs: 5_000,
    sloMs: 200,
    callerIdleTimeoutMs: 5_000,
    priority: 2,
    shares: [{ service: 's', weight: 1 }],
    maxTargets: 2,
    open: false,
    ...over
  }
}

export function aService (over: Partial<serving.ServingService> = {}): serving.ServingService {
  return { name: 's', maxConnections: 100, ...over }
}

export function aConfig (over: Partial<serving.ServingConfig> = {}): serving.ServingConfig {
  return {
    version: 1,
    routes: [aRoute()],
    services: new Map([['s', aService()]]),
    limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    accounts: [{ name: 'acc', keys: ['k1'] }],
    ...over
  }
}

export function aTarget (id: string, over: Partial<serving.TargetRecord> = {}): serving.TargetRecord {
  return { id, service: 's', address: `10.0.0.1:${id.length}${id.charCodeAt(0)}`, domain: 'd1', slots: 4, leaving: false, preemptible: false, startedAt: 1, ...over }
}

export function aCall (over: Partial<calls.Call> = {}): calls.Call {
  return {
    id: 'c1',
    method: 'POST',
    path: '/a/x',
    headers: [],
    body: new Uint8Array(0),
    route: aRoute(),
    service: aService(),
    account: 'acc',
    priority: 2,
    arrivedAt: 0,
    deadlineAt: 5_000,
    checkAuthorization: () => undefined,
    ...over
  }
}

export function aFleet (clock: time.Clock, records: readonly serving.TargetRecord[]): fleet.Fleet {
  const one = new fleet.Fleet({ clock, log: log.SILENT_LOGGER, onRemoved: () => {} })
  one.apply(records)
  return one
}

/** A reply that remembers what it was told. */
export class RecordedReply implements calls.Reply {
  started = false
  status: number | undefined
  text = ''
  state: 'open' | 'ended' | 'cut' = 'open'

  send (head: calls.ResponseHead, body: Uint8Array): void {
    this.start(head)
    this.write(body)
    this.end()
  }

  start (head: calls.ResponseHead): void {
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
    this.state = 'cut'
  }

  onDrain (fn: () => void): void {
    fn()
  }
}

/** A send as a scripted upstream saw it. */
export interface SeenSend {
  readonly req: upstream.SendReq
  readonly receiver: upstream.ResponseHandler
  aborted: boolean
}

/** An upstream whose answers the test gives. */
export class ScriptedUpstream implements upstream.Upstream {
  readonly sends: SeenSend[] = []

  send (req: upstream.SendReq, receiver: upstream.ResponseHandler): upstream.ActiveRequest {
    const seen: SeenSend = { req, receiver, aborted: false }
    this.sends.push(seen)
    return { written: true, abort: () => { seen.aborted = true }, pause: () => {}, resume: () => {} }
  }
}
