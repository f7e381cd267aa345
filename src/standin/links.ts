/**
 * Links from a simulated process to the platform and to targets. Links can be partitioned or stall, and each call waits
 * at the gate of its process.
 */
import { Err, type Result } from '../errors/index.js'
import type { ObjectStore, Platform } from '../external/index.js'
import type { Engine, GenerateEnd, GenerateReq, PieceSink, PlainReq, PlainRes, PlainTarget, TargetError } from '../target-clients/index.js'
import { delay, withTimeout, type VirtualTime } from '../time/index.js'
import type { ProcessGate } from './process-gate.js'

/** Timeout of platform calls, in ms. */
const PLATFORM_TIMEOUT_MS = 2_000
/** Time after which a client detects a stalled connection, in ms. */
export const STALL_TIMEOUT_MS = 2_000
/** Time after which a client detects that a host is unreachable, in ms. */
const CONNECT_TIMEOUT_MS = 1_000

/** A process whose calls to others go through links. */
export interface LinkedProcess {
  readonly name: string
  readonly domain: string
  readonly gate: ProcessGate
  readonly time: VirtualTime
  /** The next call to the platform is executed, but its connection stalls and no reply arrives. */
  stallNextPlatformCall: boolean
  /** The same for the next call to an engine other than generation. */
  stallNextTargetCall: boolean
  readonly connections: Set<Connection>
  /** Called before each platform call with a side effect. */
  onPlatformCall (call: PlatformCall): void
}

/** A platform call with a side effect. */
export type PlatformCall =
  | { readonly kind: 'put', readonly key: string, readonly value: string }
  | { readonly kind: 'order', readonly token: string }
  | { readonly kind: 'release', readonly token: string }
  | { readonly kind: 'report', readonly window: number }

/**
 * Makes one call of a process to the platform, or to an engine that a partition separates from it. The call waits while
 * the process is paused. During a partition the call fails with `refusedError`; when it times out, or the partition begins
 * during the call, it fails with `replyLostError`.
 */
export async function callOverLink<T, E> (proc: LinkedProcess, refusedError: NoInfer<E>, replyLostError: NoInfer<E>, call: () => Promise<Result<T, E>>, timeoutMs = PLATFORM_TIMEOUT_MS): Promise<Result<T, E>> {
  await proc.gate.whenRunning()
  if (proc.gate.partitioned) {
    await delay(proc.time, CONNECT_TIMEOUT_MS)
    await proc.gate.whenRunning()
    return Err(refusedError)
  }
  const stalled = proc.stallNextPlatformCall
  proc.stallNextPlatformCall = false
  const outcome = await withTimeout(proc.time, timeoutMs, stalled ? callWithoutReply<T, E>(call) : call(), () => Err(replyLostError))
  await proc.gate.whenRunning()
  return proc.gate.partitioned ? Err(replyLostError) : outcome
}

async function callWithoutReply<T, E> (call: () => Promise<Result<T, E>>): Promise<Result<T, E>> {
  await call()
  return await new Promise(() => {})
}

/** The platform as seen by one process. */
export function linkPlatform (proc: LinkedProcess, inner: Platform): Platform {
  const unavailable = { kind: 'unavailable' as const, message: 'unreachable' }
  const replyLost = { kind: 'unknown' as const, message: 'no reply' }
  const { store, ordering } = inner
  const linkedStore: ObjectStore = {
    get: (key) => callOverLink(proc, unavailable, unavailable, () => store.get(key)),
    list: (prefix) => callOverLink(proc, unavailable, unavailable, () => store.list(prefix)),
    put: (key, value, expected) => {
      proc.onPlatformCall({ kind: 'put', key, value })
      return callOverLink(proc, unavailable, replyLost, () => store.put(key, value, expected))
    },
    delete: (key, expected) => callOverLink(proc, unavailable, replyLost, () => store.delete(key, expected)),
    watch: (prefix, version, waitMs) => callOverLink(proc, unavailable, unavailable, () => store.watch(prefix, version, waitMs), waitMs + PLATFORM_TIMEOUT_MS)
  }
  return {
    store: linkedStore,
    vms: { list: () => callOverLink(proc, unavailable, unavailable, () => inner.vms.list()) },
    ordering: {
      order: (order) => {
        proc.onPlatformCall({ kind: 'order', token: order.token })
        return callOverLink(proc, unavailable, replyLost, () => ordering.order(order))
      },
      release: (name, token, fence) => {
        proc.onPlatformCall({ kind: 'release', token })
        return callOverLink(proc, unavailable, replyLost, () => ordering.release(name, token, fence))
      },
      list: () => callOverLink(proc, unavailable, unavailable, () => ordering.list())
    },
    reports: {
      report: (bill) => {
        proc.onPlatformCall({ kind: 'report', window: bill.window })
        return callOverLink(proc, unavailable, replyLost, () => inner.reports.report(bill))
      }
    }
  }
}

/** A connection of a process to a target. Once stalled, it delivers nothing before the client gives it up. */
export class Connection {
  stalled = false
  private fail: (err: TargetError) => void = () => {}
  readonly failed = new Promise<TargetError>((resolve) => { this.fail = resolve })

  constructor (private readonly proc: LinkedProcess, readonly crossesDomains: boolean) {}

  stall (): void {
    this.stalled = true
    this.proc.time.after(STALL_TIMEOUT_MS, () => this.fail({ kind: 'silent', ran: 'maybe', message: 'connection silent' }))
  }
}

/** A step of the request path at a target, at which a fault can be injected. */
export interface TargetStepPoint {
  readonly step: 'send/model' | 'resume/model' | 'stream/model' | 'settle/model' | 'send/once' | 'settle/once' | 'send/read' | 'settle/read'
  readonly target: string
  readonly connection?: Connection
  /** The request as text. */
  readonly payload: string
}

/** Callbacks for the test harness: a step is reached, a request is sent. */
export interface TargetObserver {
  onStep (point: TargetStepPoint): void
  onSend (target: string, attempt: string, payload: string): void
}

/** A target and the failure domain it is in. */
export interface LocatedTarget<T> {
  readonly name: string
  readonly domain: string
  readonly inner: T
}

/** Time by which a chunk arrives after its stalled connection was given up, in ms. */
const LATE_CHUNK_DELAY_MS = 40

/** Chunks of a stream after which the step `stream/model` is reached. */
const STREAM_STEP_CHUNKS = 3

/** An engine as seen by one process. */
export function linkEngine (proc: LinkedProcess, located: LocatedTarget<Engine>, observer: TargetObserver): Engine {
  const { inner, name } = located
  const unreachable: TargetError = { kind: 'connect_failed', ran: 'no', message: `${name}: unreachable` }
  const replyLost: TargetError = { kind: 'broken', ran: 'maybe', message: `${name}: no reply` }
  const shortCall = async <T>(call: () => Promise<Result<T, TargetError>>): Promise<Result<T, TargetError>> => {
    if (isPartitionedFrom(proc, located)) return await callOverLink(proc, unreachable, replyLost, call)
    const stalled = proc.stallNextTargetCall
    proc.stallNextTargetCall = false
    const outcome = await callWhenRunning(proc, call)
    if (!stalled) return outcome
    await delay(proc.time, CONNECT_TIMEOUT_MS)
    return Err(replyLost)
  }
  return {
    generate: async (req, sink, signal) => await generate(proc, located, observer, req, sink, signal),
    prefill: (req, signal) => shortCall(() => inner.prefill(req, signal)),
    importKv: (id, source, signal) => shortCall(() => inner.importKv(id, source, signal)),
    load: () => shortCall(() => inner.load()),
    cacheEvents: (since) => shortCall(() => inner.cacheEvents(since)),
    state: () => shortCall(() => inner.state()),
    order: (id, fence, order) => shortCall(() => inner.order(id, fence, order))
  }
}

async function generate (proc: LinkedProcess, located: LocatedTarget<Engine>, observer: TargetObserver, req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
  const connection = new Connection(proc, located.domain !== proc.domain)
  const point = { target: located.name, connection, payload: JSON.stringify(req) }
  const failure = await checkBeforeSend<GenerateEnd>(proc, located, signal, () => observer.onStep({ ...point, step: req.id.endsWith('-1') ? 'send/model' : 'resume/model' }))
  if (failure !== undefined) return failure
  observer.onSend(located.name, req.id, point.payload)
  const abort = new AbortController()
  proc.gate.onKill(() => abort.abort())
  let chunkCount = 0
  const work = located.inner.generate(req, (chunk) => {
    // A chunk on a stalled connection arrives after the client has given the connection up.
    if (connection.stalled) proc.time.after(STALL_TIMEOUT_MS + LATE_CHUNK_DELAY_MS, () => proc.gate.runWhenRunning(() => sink(chunk)))
    else proc.gate.runWhenRunning(() => sink(chunk))
    if (++chunkCount === STREAM_STEP_CHUNKS) observer.onStep({ ...point, step: 'stream/model' })
  }, abort.signal)
  const outcome = await awaitOutcome(proc, connection, signal, work)
  if (outcome.err) abort.abort()
  else observer.onStep({ ...point, step: 'settle/model' })
  await proc.gate.whenRunning()
  return outcome
}

/** A plain target as seen by one process. Once sent, a call is executed even when the process is killed. */
export function linkPlain (proc: LinkedProcess, located: LocatedTarget<PlainTarget>, observer: TargetObserver): PlainTarget {
  return {
    call: async (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>> => {
      const connection = new Connection(proc, located.domain !== proc.domain)
      const point = { target: located.name, connection, payload: JSON.stringify({ ...req, body: new TextDecoder().decode(req.body) }) }
      const kind = req.method === 'GET' ? 'read' : 'once'
      const failure = await checkBeforeSend<PlainRes>(proc, located, signal, () => observer.onStep({ ...point, step: `send/${kind}` }))
      if (failure !== undefined) return failure
      observer.onSend(located.name, req.id, point.payload)
      const outcome = await awaitOutcome(proc, connection, signal, located.inner.call(req, new AbortController().signal))
      if (outcome.ok) observer.onStep({ ...point, step: `settle/${kind}` })
      await proc.gate.whenRunning()
      return outcome
    }
  }
}

function isPartitionedFrom (proc: LinkedProcess, located: LocatedTarget<unknown>): boolean {
  return proc.gate.partitioned && located.domain !== proc.domain
}

async function callWhenRunning<T> (proc: LinkedProcess, call: () => Promise<T>): Promise<T> {
  await proc.gate.whenRunning()
  const result = await call()
  await proc.gate.whenRunning()
  return result
}

async function checkBeforeSend<T> (proc: LinkedProcess, located: LocatedTarget<unknown>, signal: AbortSignal, onStep: () => void): Promise<Result<T, TargetError> | undefined> {
  onStep()
  await proc.gate.whenRunning()
  if (isPartitionedFrom(proc, located)) {
    await delay(proc.time, CONNECT_TIMEOUT_MS)
    await proc.gate.whenRunning()
    return Err({ kind: 'connect_failed', ran: 'no', message: `${located.name}: unreachable` })
  }
  return signal.aborted ? Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' }) : undefined
}

async function awaitOutcome<T> (proc: LinkedProcess, connection: Connection, signal: AbortSignal, work: Promise<Result<T, TargetError>>): Promise<Result<T, TargetError>> {
  proc.connections.add(connection)
  const cancelled = new Promise<Result<T, TargetError>>((resolve) => {
    signal.addEventListener('abort', () => resolve(Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })), { once: true })
  })
  const completed = work.then(async (outcome) => connection.stalled ? await new Promise<never>(() => {}) : outcome)
  const outcome = await Promise.race([completed, cancelled, connection.failed.then((err): Result<T, TargetError> => Err(err))])
  proc.connections.delete(connection)
  return outcome
}
