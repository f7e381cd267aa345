/** A forwarder in virtual time with two targets, whose responses are given by the test. */
import type * as calls from '../../src/call/index.js'
import type * as errors from '../../src/errors/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as build from './gateway-builders.js'

export const STREAM = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 2_000 })

/** A forwarder and what it sent, logged and counted; `slack` is that of the retry budget. */
export function setUp (slack = 100) {
  const virtual = new time.VirtualTime()
  const env = virtual.env(1)
  const upstream = new build.ScriptedUpstream()
  const fleet = build.aFleet(virtual, [build.aTarget('a'), build.aTarget('b')])
  const executed: string[] = []
  const budget = new retry.SharedRetryBudget(virtual, { ratio: 0.2, slack, windowMs: 10_000 }, () => 1)
  const counters = new metrics.Metrics()
  const lines: string[] = []
  const placer = new placement.PlainPlacer(fleet, env, 'd1', () => 1)
  const segments = new quarantine.SegmentQuarantine({ clock: virtual, selfName: 'g', gateways: () => ['g'], log: log.SILENT_LOGGER })
  const forwarder = new forward.Forwarder({
    env,
    upstream,
    protocol: new platformTarget.HttpTargetProtocol(),
    onExecution: (call) => executed.push(call.id),
    placerFor: () => placer,
    budgetFor: () => budget,
    fleet,
    quarantine: segments,
    listAgeMs: () => 0,
    configVersion: () => 1,
    log: log.createLogger('gateway', 'info', { write: (line: string) => lines.push(line) > 0 } as never),
    metrics: counters,
    dropIdleConnections: () => {}
  })
  const reply = new build.RecordedReply()
  const callerLeft = new AbortController()
  let outcome: errors.Refusal | undefined | 'open' = 'open'
  const start = (call: calls.Call): void => { forwarder.forward(call, reply, callerLeft.signal).then((refusal) => { outcome = refusal }, (err: unknown) => { throw err }) }
  return { virtual, upstream, fleet, segments, counters, lines, reply, callerLeft, executed, start, outcome: () => outcome }
}

/** Gives a complete response to a send. */
export function respond (send: build.RecordedSend, status: number, body: string, headers: Record<string, string> = {}): void {
  send.handler.onHead(status, { 'request-id': 'c1', ...headers })
  if (body !== '') send.handler.onData(Buffer.from(body))
  send.handler.onEnd()
}

/** Sends the head of a stream and one event. */
export function begin (send: build.RecordedSend): void {
  send.handler.onHead(200, { 'request-id': 'c1' })
  send.handler.onData(Buffer.from('id: 1\ndata: a\n\n'))
}
