/** Links from a process to the outside interfaces that can be cut, silent or slow; each call passes the process's gate. */
import { Err, type Result } from '../errors/index.js'
import type { ObjectStore, Platform } from '../external/index.js'
import type { Engine, GenerateEnd, GenerateReq, PieceSink, PlainReq, PlainRes, PlainTarget, TargetError } from '../target-clients/index.js'
import { delay, withTimeout, type VirtualTime } from '../time/index.js'
import type { Gate } from './process-gate.js'

/** Timeout of the clients of the platform, in ms. */
const CALL_MS = 2_000
/** Time after which a client notices a silent connection or an unreachable host, in ms. */
export const SILENT_MS = 2_000
const CONNECT_MS = 1_000

/** What a link needs of its process. */
export interface LinkedProcess {
  readonly name: string
  readonly domain: string
  readonly gate: Gate
  readonly time: VirtualTime
  /** The next call to the store goes out on a connection that is silent for good. */
  silentStore: boolean
  /** The same for the next short call to an engine. */
  silentTarget: boolean
  readonly connections: Set<Connection>
  /** Called before each call to the platform that has an effect. */
  onCall (call: PlatformCall): void
}

/** A call to the platform that has an effect. */
export type PlatformCall =
  | { readonly kind: 'put', readonly key: string, readonly value: string }
  | { readonly kind: 'order', readonly token: string }
  | { readonly kind: 'release', readonly token: string }
  | { readonly kind: 'report', readonly window: number }

/** Makes one call of a process: held while it is paused, refused or lost while it is cut off. */
export async function outbound<T, E> (proc: LinkedProcess, refused: NoInfer<E>, lost: NoInfer<E>, call: () => Promise<Result<T, E>>, timeoutMs = CALL_MS): Promise<Result<T, E>> {
  await proc.gate.pass()
  if (proc.gate.cut) {
    await delay(proc.time, CONNECT_MS)
    await proc.gate.pass()
    return Err(refused)
  }
  const silent = proc.silentStore
  proc.silentStore = false
  const answer = await withTimeout(proc.time, timeoutMs, silent ? never<T, E>(call) : call(), () => Err(lost))
  await proc.gate.pass()
  return proc.gate.cut ? Err(lost) : answer
}

async function never<T, E> (call: () => Promise<Result<T, E>>): Promise<Result<T, E>> {
  await call()
  return await new Promise(() => {})
}

/** The platform as one process reaches it. */
export function linkPlatform (proc: LinkedProcess, inner: Platform): Platform {
  const refused = { kind: 'unavailable' as const, message: 'unreachable' }
  const lost = { kind: 'unknown' as const, message: 'no reply' }
  const { store, ordering } = inner
  const linked: ObjectStore = {
    get: (key) => outbound(proc, refused, refused, () => store.get(key)),
    list: (prefix) => outbound(proc, refused, refused, () => store.list(prefix)),
    put: (key, value, expected) => {
      proc.onCall({ kind: 'put', key, value })
      return outbound(proc, refused, lost, () => store.put(key, value, expected))
    },
    delete: (key, expected) => outbound(proc, refused, lost, () => store.delete(key, expected)),
    watch: (prefix, version, waitMs) => outbound(proc, refused, refused, () => store.watch(prefix, version, waitMs), waitMs + CALL_MS)
  }
  return {
    store: linked,
    vms: { list: () => outbound(proc, refused, refused, () => inner.vms.list()) },
    ordering: {
      order: (order) => {
        proc.onCall({ kind: 'order', token: order.token })
        return outbound(proc, refused, lost, () => ordering.order(order))
      },
      release: (name, token, fence) => {
        proc.onCall({ kind: 'release', token })
        return outbound(proc, refused, lost, () => ordering.release(name, token, fence))
      },
      list: () => outbound(proc, refused, refused, () => ordering.list())
    },
    reports: {
      report: (bill) => {
        proc.onCall({ kind: 'report', window: bill.window })
        return outbound(proc, refused, lost, () => inner.reports.report(bill))
      }
    }
  }
}

/** A connection of a process to a target; once silent it delivers nothing in time. */
export class Connection {
  silent = false
  private settle: (err: TargetError) => void = () => {}
  readonly failed = new Promise<TargetError>((resolve) => { this.settle = resolve })

  constructor (private readonly proc: LinkedProcess, readonly remote: boolean) {}

  silence (): void {
    this.silent = true
    this.proc.time.after(SILENT_MS, () => this.settle({ kind: 'silent', ran: 'maybe', message: 'connection silent' }))
  }
}

/** Where a process stands on its way to a target. */
export interface TargetPoint {
  readonly step: 'send/model' | 'resume/model' | 'stream/model' | 'settle/model' | 'send/once' | 'settle/once' | 'send/read' | 'settle/read'
  readonly target: string
  readonly connection?: Connection
  /** What is sent, as text. */
  readonly payload: string
}

/** Tells the harness of a step, and of a request that goes out. */
export interface TargetWatcher {
  reach (point: TargetPoint): void
  sent (target: string, attempt: string, payload: string): void
}

/** A target and the failure domain it is in. */
export interface LocatedTarget<T> {
  readonly name: string
  readonly domain: string
  readonly inner: T
}

/** Time after a connection was given up at which its pieces still arrive, in ms. */
const LATE_MS = 40

/** Pieces of a stream after which step `stream` is reached. */
const STREAM_STEP_AFTER = 3

/** An engine as one process reaches it. */
export function linkEngine (proc: LinkedProcess, placed: LocatedTarget<Engine>, watcher: TargetWatcher): Engine {
  const { inner, name } = placed
  const unreachable: TargetError = { kind: 'connect_failed', ran: 'no', message: `${name}: unreachable` }
  const broken: TargetError = { kind: 'broken', ran: 'maybe', message: `${name}: no reply` }
  const short = async <T>(call: () => Promise<Result<T, TargetError>>): Promise<Result<T, TargetError>> => {
    if (isCut(proc, placed)) return await outbound(proc, unreachable, broken, call)
    const silent = proc.silentTarget
    proc.silentTarget = false
    const answer = await passing(proc, call)
    if (!silent) return answer
    await delay(proc.time, CONNECT_MS)
    return Err(broken)
  }
  return {
    generate: async (req, sink, signal) => await generate(proc, placed, watcher, req, sink, signal),
    prefill: (req, signal) => short(() => inner.prefill(req, signal)),
    importKv: (id, source, signal) => short(() => inner.importKv(id, source, signal)),
    load: () => short(() => inner.load()),
    cacheEvents: (since) => short(() => inner.cacheEvents(since)),
    state: () => short(() => inner.state()),
    order: (id, fence, order) => short(() => inner.order(id, fence, order))
  }
}

async function generate (proc: LinkedProcess, placed: LocatedTarget<Engine>, watcher: TargetWatcher, req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
  const connection = new Connection(proc, placed.domain !== proc.domain)
  const at = { target: placed.name, connection, payload: JSON.stringify(req) }
  const refused = await depart<GenerateEnd>(proc, placed, signal, () => watcher.reach({ ...at, step: req.id.endsWith('-1') ? 'send/model' : 'resume/model' }))
  if (refused !== undefined) return refused
  watcher.sent(placed.name, req.id, at.payload)
  const abort = new AbortController()
  proc.gate.onKill(() => abort.abort())
  let pieces = 0
  const work = placed.inner.generate(req, (piece) => {
    // A piece on a silent connection arrives after the client has given the connection up.
    if (connection.silent) proc.time.after(SILENT_MS + LATE_MS, () => proc.gate.run(() => sink(piece)))
    else proc.gate.run(() => sink(piece))
    if (++pieces === STREAM_STEP_AFTER) watcher.reach({ ...at, step: 'stream/model' })
  }, abort.signal)
  const outcome = await race(proc, connection, signal, work)
  if (outcome.err) abort.abort()
  else watcher.reach({ ...at, step: 'settle/model' })
  await proc.gate.pass()
  return outcome
}

/** A plain target as one process reaches it. Once sent, a call runs even if the process goes away. */
export function linkPlain (proc: LinkedProcess, placed: LocatedTarget<PlainTarget>, watcher: TargetWatcher): PlainTarget {
  return {
    call: async (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>> => {
      const connection = new Connection(proc, placed.domain !== proc.domain)
      const at = { target: placed.name, connection, payload: JSON.stringify({ ...req, body: new TextDecoder().decode(req.body) }) }
      const kind = req.method === 'GET' ? 'read' : 'once'
      const refused = await depart<PlainRes>(proc, placed, signal, () => watcher.reach({ ...at, step: `send/${kind}` }))
      if (refused !== undefined) return refused
      watcher.sent(placed.name, req.id, at.payload)
      const outcome = await race(proc, connection, signal, placed.inner.call(req, new AbortController().signal))
      if (outcome.ok) watcher.reach({ ...at, step: `settle/${kind}` })
      await proc.gate.pass()
      return outcome
    }
  }
}

function isCut (proc: LinkedProcess, placed: LocatedTarget<unknown>): boolean {
  return proc.gate.cut && placed.domain !== proc.domain
}

async function passing<T> (proc: LinkedProcess, call: () => Promise<T>): Promise<T> {
  await proc.gate.pass()
  const answer = await call()
  await proc.gate.pass()
  return answer
}

async function depart<T> (proc: LinkedProcess, placed: LocatedTarget<unknown>, signal: AbortSignal, reach: () => void): Promise<Result<T, TargetError> | undefined> {
  reach()
  await proc.gate.pass()
  if (isCut(proc, placed)) {
    await delay(proc.time, CONNECT_MS)
    await proc.gate.pass()
    return Err({ kind: 'connect_failed', ran: 'no', message: `${placed.name}: unreachable` })
  }
  return signal.aborted ? Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' }) : undefined
}

async function race<T> (proc: LinkedProcess, connection: Connection, signal: AbortSignal, work: Promise<Result<T, TargetError>>): Promise<Result<T, TargetError>> {
  proc.connections.add(connection)
  const cancelled = new Promise<Result<T, TargetError>>((resolve) => {
    signal.addEventListener('abort', () => resolve(Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })), { once: true })
  })
  const answered = work.then(async (outcome) => connection.silent ? await new Promise<never>(() => {}) : outcome)
  const outcome = await Promise.race([answered, cancelled, connection.failed.then((err): Result<T, TargetError> => Err(err))])
  proc.connections.delete(connection)
  return outcome
}
