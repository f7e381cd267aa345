/** A forwarder in virtual time with scripted targets, for tests of one call. */
import * as admission from '../../src/admission/index.js'
import type * as calls from '../../src/call/index.js'
import type * as errors from '../../src/errors/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'
import type * as serving from '../../src/serving/index.js'
import * as waiting from '../../src/waiting/index.js'
import type * as upstream from '../../src/upstream/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as build from './gateway-builders.js'

/** Options of a fixture; `slack` are the retries that the budget allows. */
export interface FixtureOptions {
  readonly slack?: number
  readonly targets?: readonly serving.TargetRecord[]
  readonly placer?: 'plain' | 'engine'
  /** Whether calls may wait before their first attempt. */
  readonly waits?: boolean
  /** Time, seed, targets and number of gateways of a fixture that shares them with others. */
  readonly shared?: SharedParts
}

/** What several gateways have in common. */
export interface SharedParts {
  readonly virtual: time.VirtualTime
  readonly seed: number
  readonly upstream: upstream.Upstream
  readonly protocol: calls.TargetProtocol
  readonly gateways: number
}

/** A log line. */
export interface LogLine {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

export const STREAM = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 2_000 })

export type ForwarderFixture = ReturnType<typeof setUp>

export function setUp ({ slack = 100, targets = [build.aTarget('a'), build.aTarget('b')], placer = 'plain', waits = false, shared }: FixtureOptions = {}) {
  const virtual = shared?.virtual ?? new time.VirtualTime()
  const env = virtual.env(shared?.seed ?? 1)
  const gateways = (): number => shared?.gateways ?? 1
  const upstream = new build.ScriptedUpstream()
  const fleet = build.aFleet(virtual, targets)
  const executed: string[] = []
  const dropped: string[] = []
  const lines: LogLine[] = []
  const note = (fields: object, event: string): void => { lines.push({ event, fields: { ...fields } }) }
  const budget = new retry.SharedRetryBudget(virtual, { ratio: 0.2, slack, windowMs: 10_000 }, gateways)
  const counters = new metrics.Metrics()
  const accountWork = new admission.AccountWork(virtual)
  const chosenPlacer = placer === 'plain' ? new placement.PlainPlacer(fleet, env, 'd1', gateways) : new placement.EnginePlacer(fleet, env, 'd1', gateways, accountWork)
  const segments = new quarantine.SegmentQuarantine({ clock: virtual, selfName: 'g', gateways: () => ['g'], log: log.SILENT_LOGGER })
  const logger = { debug: note, info: note, warn: note, error: note }
  const callAdmission = new waiting.CallAdmission({ env, fleet, gateways, accountWork, log: logger, metrics: counters })
  const forwarder = new forward.Forwarder({
    env,
    upstream: shared?.upstream ?? upstream,
    protocol: shared?.protocol ?? new platformTarget.HttpTargetProtocol(),
    onExecution: (call) => executed.push(call.id),
    placerFor: () => chosenPlacer,
    budgetFor: () => budget,
    fleet,
    quarantine: segments,
    listAgeMs: () => 0,
    configVersion: () => 1,
    admission: waits ? callAdmission : undefined,
    log: logger,
    metrics: counters,
    dropIdleConnections: (address) => dropped.push(address)
  })
  const reply = new build.RecordedReply()
  const callerLeft = new AbortController()
  let outcome: errors.Refusal | undefined | 'open' = 'open'
  const start = (call: calls.Call, to: calls.Reply = reply): void => { forwarder.forward(call, to, callerLeft.signal).then((refusal) => { outcome = refusal }, (err: unknown) => { throw err }) }
  return { virtual, upstream, forwarder, admission: callAdmission, fleet, segments, counters, budget, lines, dropped, reply, callerLeft, executed, start, outcome: () => outcome }
}

/** A complete response of a target to the call of {@link build.aCall}. */
export function respond (send: build.RecordedSend, status: number, body: string, headers: Record<string, string> = {}): void {
  send.handler.onHead(status, { 'request-id': 'c1', ...headers })
  if (body !== '') send.handler.onData(Buffer.from(body))
  send.handler.onEnd()
}

/** The head of a stream, and its events with the ids from `first` to `last`. */
export function beginStream (send: build.RecordedSend, first: number, last = first, headers: Record<string, string> = {}): void {
  send.handler.onHead(200, { 'request-id': 'c1', ...headers })
  sendEvents(send, first, last)
}

/** Events of a stream with the ids from `first` to `last`; {@link eventText} is their text. */
export function sendEvents (send: build.RecordedSend, first: number, last = first): void {
  for (let id = first; id <= last; id++) send.handler.onData(Buffer.from(eventText(id)))
}

export function eventText (id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`
}
