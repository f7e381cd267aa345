/** Callers that keep to the published rules: they retry what may be retried, at the next entry. */
import type { CallerReq, CallerRes } from '../../src/entry/index.js'
import { delay } from '../../src/time/index.js'
import { keyFor, MODEL } from './build.js'
import type { CallerTry } from './evidence.js'
import type { EntryProcess } from './entry-process.js'
import type { World } from './world.js'

/** Time without progress after which a caller gives a try up, in ms. */
const IDLE_TIMEOUT_MS = 12_000

/** Tries of one request. */
const MAX_TRIES = 8

const RETRY_DELAY_MS = 700
const OUTPUT_TOKENS = 10

/** Statuses after which another try cannot help. */
const FINAL_STATUSES = new Set([400, 401, 404, 409])

/** What a caller sends. */
export interface CallerSpec {
  readonly name: string
  readonly kind: CallerTry['kind']
  readonly account: string
  /** Entry of the first try. */
  readonly firstEntry: number
  readonly requests: number
  readonly intervalMs: number
}

/** Sends all requests of a caller, one after another. */
export async function runCaller (world: World<EntryProcess>, spec: CallerSpec): Promise<void> {
  for (let index = 0; index < spec.requests; index++) {
    await runRequest(world, spec, `${spec.name}-${index}`)
    await delay(world.time, spec.intervalMs)
  }
}

/** Sends one request until it is answered or another try cannot help. */
export async function runRequest (world: World<EntryProcess>, spec: CallerSpec, request: string): Promise<CallerTry> {
  for (let attempt = 0; ; attempt++) {
    const proc = world.procs[(spec.firstEntry + attempt) % world.procs.length]!
    const tried = await submit(world, proc, spec, request, attempt)
    const served = tried.outcome === 'whole' && (tried.status === 200 || FINAL_STATUSES.has(tried.status ?? 0)) && refusalOf(tried) === undefined
    if (served || FINAL_STATUSES.has(tried.status ?? 0) || attempt + 1 >= MAX_TRIES) return tried
    await delay(world.time, RETRY_DELAY_MS)
  }
}

/** The refusal in an answer, also one that ends a stream. */
export function refusalOf (tried: CallerTry): { readonly reason: string, readonly ran: string } | undefined {
  const text = tried.received.includes('event: error') ? tried.received.slice(tried.received.lastIndexOf('data: ') + 6) : tried.received
  if (tried.status === 200 && text === tried.received) return undefined
  try {
    return (JSON.parse(text) as { error?: { reason: string, ran: string } }).error
  } catch {
    return undefined
  }
}

/** Sends one try to an entry. */
export async function submit (world: World<EntryProcess>, proc: EntryProcess, spec: CallerSpec, request: string, attempt: number): Promise<CallerTry> {
  const id = `${request}.${attempt}`
  const plain = spec.kind !== 'stream' && spec.kind !== 'whole'
  const tried: CallerTry = {
    id,
    caller: spec.name,
    kind: spec.kind,
    account: spec.account,
    text: plain ? `body of ${request}` : `prompt of <${id}>`,
    seed: attempt + 7,
    maxTokens: OUTPUT_TOKENS,
    entry: proc.name,
    sentAt: world.time.now(),
    status: undefined,
    received: '',
    outcome: 'open',
    endedAt: 0
  }
  world.tries.push(tried)
  const abort = new AbortController()
  await new Promise<void>((resolve) => {
    const finish = (outcome: CallerTry['outcome']): void => {
      if (tried.outcome !== 'open') return
      tried.outcome = outcome
      tried.endedAt = world.time.now()
      proc.gate.runWhenRunning(() => abort.abort())
      resolve()
    }
    proc.gate.onKill(() => finish('broken'))
    world.time.after(IDLE_TIMEOUT_MS, () => finish('abandoned'))
    const res = new RecordingRes(tried, () => finish('whole'))
    proc.callerConnections.set(id, res)
    proc.gate.runWhenRunning(() => { proc.path.handle(buildReq(tried, spec, request, abort.signal), res).catch(() => finish('broken')) })
  })
  proc.callerConnections.delete(id)
  return tried
}

/** A caller's connection; once silent, nothing arrives. */
export class RecordingRes implements CallerRes {
  started = false
  stalled = false

  constructor (private readonly tried: CallerTry, private readonly onEnd: () => void) {}

  start (status: number): void {
    if (this.started) throw new Error('the head of an answer was sent twice')
    this.started = true
    if (this.isConnected) this.tried.status = status
  }

  write (text: string): void {
    if (this.isConnected) this.tried.received += text
  }

  end (body?: Uint8Array | string): void {
    if (!this.isConnected) return
    if (body !== undefined) this.tried.received += typeof body === 'string' ? body : new TextDecoder().decode(body)
    this.onEnd()
  }

  private get isConnected (): boolean {
    return !this.stalled && this.tried.outcome === 'open'
  }
}

function buildReq (tried: CallerTry, spec: CallerSpec, request: string, signal: AbortSignal): CallerReq {
  const path = PATH_BY_KIND[spec.kind]
  const plain = path !== '/v1/completions'
  const body = plain ? tried.text : JSON.stringify({ model: MODEL, prompt: tried.text, max_tokens: tried.maxTokens, stream: spec.kind === 'stream', seed: tried.seed })
  return {
    method: plain && spec.kind !== 'once' ? 'GET' : 'POST',
    path,
    url: path,
    authorization: spec.kind === 'open' ? undefined : `Bearer ${keyFor(spec.account).text}`,
    idempotencyKey: spec.kind === 'once' ? `${1_800_000_000_000}-${request}` : undefined,
    // Tells one try from another at the target; it is not part of what a claim compares.
    contentType: `text/plain; try=<${tried.id}>`,
    body: new TextEncoder().encode(body),
    signal
  }
}

const PATH_BY_KIND: Readonly<Record<CallerTry['kind'], string>> = {
  stream: '/v1/completions', whole: '/v1/completions', once: '/record', read: '/read', open: '/status'
}

/** One request of each kind to an entry, to see whether it serves as before. */
export function submitProbe (world: World<EntryProcess>, proc: EntryProcess): Array<Promise<CallerTry>> {
  const kinds: ReadonlyArray<CallerTry['kind']> = ['stream', 'once', 'open']
  return kinds.map(async (kind) => {
    const spec: CallerSpec = { name: 'probe', kind, account: kind === 'open' ? 'open' : 'alder', firstEntry: 0, requests: 1, intervalMs: 0 }
    return await submit(world, proc, spec, `probe-${proc.name}-${kind}`, 0)
  })
}
