/** Callers that follow the published rules for retries; a retry goes to the next entry. */
import type { CallerReq, CallerRes } from '../../src/entry/index.js'
import { delay } from '../../src/time/index.js'
import { keyFor, MODEL } from './build.js'
import type { CallerTry } from './evidence.js'
import type { EntryProcess } from './entry-process.js'
import type { World } from './world.js'

/** Time after which a caller abandons a try, in ms. */
const TRY_TIMEOUT_MS = 12_000

/** Most tries of one request. */
const MAX_TRIES = 8

const RETRY_DELAY_MS = 700
const OUTPUT_TOKENS = 10

/** Statuses after which a caller does not retry. */
const FINAL_STATUSES = new Set([400, 401, 404, 409])

/** Requests that a caller sends. */
export interface CallerSpec {
  readonly name: string
  readonly kind: CallerTry['kind']
  readonly account: string
  /** Index of the entry for the first try; each retry goes to the next one. */
  readonly firstEntry: number
  readonly requests: number
  readonly intervalMs: number
}

/** Sends the requests of a caller one after another. */
export async function runCaller (world: World<EntryProcess>, spec: CallerSpec): Promise<void> {
  for (let index = 0; index < spec.requests; index++) {
    await runRequest(world, spec, `${spec.name}-${index}`)
    await delay(world.time, spec.intervalMs)
  }
}

/** Sends one request until it is served, a retry cannot help, or all tries are used; returns the last try. */
export async function runRequest (world: World<EntryProcess>, spec: CallerSpec, request: string): Promise<CallerTry> {
  for (let attempt = 0; ; attempt++) {
    const proc = world.procs[(spec.firstEntry + attempt) % world.procs.length]!
    const callerTry = await submit(world, proc, spec, request, attempt)
    const isServed = callerTry.outcome === 'whole' && (callerTry.status === 200 || FINAL_STATUSES.has(callerTry.status ?? 0)) && refusalOf(callerTry) === undefined
    if (isServed || FINAL_STATUSES.has(callerTry.status ?? 0) || attempt + 1 >= MAX_TRIES) return callerTry
    await delay(world.time, RETRY_DELAY_MS)
  }
}

/** The refusal in a response, or the one that ends a stream; `undefined` when there is none. */
export function refusalOf (callerTry: CallerTry): { readonly reason: string, readonly ran: string } | undefined {
  const text = callerTry.received.includes('event: error') ? callerTry.received.slice(callerTry.received.lastIndexOf('data: ') + 6) : callerTry.received
  if (callerTry.status === 200 && text === callerTry.received) return undefined
  try {
    return (JSON.parse(text) as { error?: { reason: string, ran: string } }).error
  } catch {
    return undefined
  }
}

/** Sends one try to an entry and waits until it ends. */
export async function submit (world: World<EntryProcess>, proc: EntryProcess, spec: CallerSpec, request: string, attempt: number): Promise<CallerTry> {
  const id = `${request}.${attempt}`
  const isPlain = spec.kind !== 'stream' && spec.kind !== 'whole'
  const callerTry: CallerTry = {
    id,
    caller: spec.name,
    kind: spec.kind,
    account: spec.account,
    text: isPlain ? `body of ${request}` : `prompt of <${id}>`,
    seed: attempt + 7,
    maxTokens: OUTPUT_TOKENS,
    entry: proc.name,
    sentAt: world.time.now(),
    status: undefined,
    received: '',
    outcome: 'open',
    endedAt: 0
  }
  world.tries.push(callerTry)
  const abort = new AbortController()
  await new Promise<void>((resolve) => {
    const finish = (outcome: CallerTry['outcome']): void => {
      if (callerTry.outcome !== 'open') return
      callerTry.outcome = outcome
      callerTry.endedAt = world.time.now()
      proc.gate.runWhenRunning(() => abort.abort())
      resolve()
    }
    proc.gate.onKill(() => finish('broken'))
    world.time.after(TRY_TIMEOUT_MS, () => finish('abandoned'))
    const res = new RecordingRes(callerTry, () => finish('whole'))
    proc.callerConnections.set(id, res)
    proc.gate.runWhenRunning(() => { proc.path.handle(buildReq(callerTry, spec, request, abort.signal), res).catch(() => finish('broken')) })
  })
  proc.callerConnections.delete(id)
  return callerTry
}

/** Records the response of a try; once the connection has stalled, nothing more is received. */
export class RecordingRes implements CallerRes {
  started = false
  stalled = false

  constructor (private readonly callerTry: CallerTry, private readonly onEnd: () => void) {}

  start (status: number): void {
    if (this.started) throw new Error('the response head was sent twice')
    this.started = true
    if (this.isConnected) this.callerTry.status = status
  }

  write (text: string): void {
    if (this.isConnected) this.callerTry.received += text
  }

  end (body?: Uint8Array | string): void {
    if (!this.isConnected) return
    if (body !== undefined) this.callerTry.received += typeof body === 'string' ? body : new TextDecoder().decode(body)
    this.onEnd()
  }

  private get isConnected (): boolean {
    return !this.stalled && this.callerTry.outcome === 'open'
  }
}

function buildReq (callerTry: CallerTry, spec: CallerSpec, request: string, signal: AbortSignal): CallerReq {
  const path = PATH_BY_KIND[spec.kind]
  const isPlain = path !== '/v1/completions'
  const body = isPlain ? callerTry.text : JSON.stringify({ model: MODEL, prompt: callerTry.text, max_tokens: callerTry.maxTokens, stream: spec.kind === 'stream', seed: callerTry.seed })
  return {
    method: isPlain && spec.kind !== 'once' ? 'GET' : 'POST',
    path,
    url: path,
    authorization: spec.kind === 'open' ? undefined : `Bearer ${keyFor(spec.account).text}`,
    idempotencyKey: spec.kind === 'once' ? `${1_800_000_000_000}-${request}` : undefined,
    // Identifies the try at the target; claims do not compare the content type.
    contentType: `text/plain; try=<${callerTry.id}>`,
    body: new TextEncoder().encode(body),
    signal
  }
}

const PATH_BY_KIND: Readonly<Record<CallerTry['kind'], string>> = {
  stream: '/v1/completions', whole: '/v1/completions', once: '/record', read: '/read', open: '/status'
}

/** Sends one request of each kind to an entry, to check that it has recovered. */
export function submitProbe (world: World<EntryProcess>, proc: EntryProcess): Array<Promise<CallerTry>> {
  const kinds: ReadonlyArray<CallerTry['kind']> = ['stream', 'once', 'open']
  return kinds.map(async (kind) => {
    const spec: CallerSpec = { name: 'probe', kind, account: kind === 'open' ? 'open' : 'alder', firstEntry: 0, requests: 1, intervalMs: 0 }
    return await submit(world, proc, spec, `probe-${proc.name}-${kind}`, 0)
  })
}
