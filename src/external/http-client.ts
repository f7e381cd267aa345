/** Client of the platform over HTTP. */
import * as undici from 'undici'
import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/index.js'
import type {
  ExpectedVersion, ObjectStore, OrderedTarget, OrderError, Platform, ReportError, StoredObject, StoreError, TargetOrder, TargetOrdering,
  UsageBill, UsageReports, VmDirectory, VmRecord, WatchBatch
} from './types.js'
import * as wire from './wire.js'

/** Time allowed for one call, in ms. */
const CALL_TIMEOUT_MS = 2_000

/** Added to a watch's own waiting time, in ms. */
const WATCH_SLACK_MS = 2_000

const CONNECT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** The platform at `baseUrl`. */
export class HttpPlatform implements Platform, AsyncDisposable {
  private readonly http: HttpJson
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly ordering: TargetOrdering
  readonly reports: UsageReports

  constructor (baseUrl: string) {
    this.http = new HttpJson(baseUrl)
    this.store = new HttpStore(this.http)
    this.vms = new HttpVms(this.http)
    this.ordering = new HttpOrdering(this.http)
    this.reports = new HttpReports(this.http)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.http.agent.destroy()
  }
}

/** An answer of the platform: its status and body. */
interface Answer {
  readonly status: number
  readonly body: unknown
}

/** A call that failed on the way; `sent` says whether the platform may have seen it. */
interface TransportError {
  readonly sent: boolean
  readonly message: string
}

class HttpJson {
  readonly agent = new undici.Agent({ connections: 64, pipelining: 1, connect: { timeout: 1_000 } })

  constructor (private readonly baseUrl: string) {}

  async call (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Result<Answer, TransportError>> {
    try {
      const res = await undici.request(this.baseUrl + path, {
        method,
        dispatcher: this.agent,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const text = await res.body.text()
      return Ok({ status: res.statusCode, body: text === '' ? {} : JSON.parse(text) as unknown })
    } catch (err) {
      const code = String((err as { code?: unknown }).code ?? '')
      return Err({ sent: !CONNECT_CODES.has(code), message: `platform: ${err instanceof Error ? err.message : String(err)}` })
    }
  }
}

class HttpStore implements ObjectStore {
  constructor (private readonly http: HttpJson) {}

  async get (key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    return await this.read(`/objects/${encodeURIComponent(key)}`, wire.GetWire, (body) => body.object)
  }

  async list (prefix: string): Promise<Result<readonly StoredObject[], StoreError>> {
    return await this.read(`/objects?prefix=${encodeURIComponent(prefix)}`, wire.ListWire, (body) => body.objects)
  }

  async put (key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
    const answer = await this.http.call('PUT', `/objects/${encodeURIComponent(key)}`, { value, expected })
    return writeOutcome(answer, (body) => wire.PutWire.parse(body).object)
  }

  async delete (key: string, expected: number): Promise<Result<void, StoreError>> {
    const answer = await this.http.call('DELETE', `/objects/${encodeURIComponent(key)}?expected=${expected}`)
    return writeOutcome(answer, () => undefined)
  }

  async watch (prefix: string, version: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&version=${version}&wait=${waitMs}`
    return await this.read(path, wire.WatchWire, (body) => body, waitMs + WATCH_SLACK_MS)
  }

  private async read<W, T> (path: string, schema: z.ZodType<W>, pick: (body: W) => T, timeoutMs?: number): Promise<Result<T, StoreError>> {
    const answer = await this.http.call('GET', path, undefined, timeoutMs)
    if (answer.err) return Err({ kind: 'unavailable', message: answer.val.message })
    if (answer.val.status !== 200) return Err({ kind: 'unavailable', message: `platform: status ${answer.val.status}` })
    return Ok(pick(schema.parse(answer.val.body)))
  }
}

class HttpVms implements VmDirectory {
  constructor (private readonly http: HttpJson) {}

  async list (): Promise<Result<readonly VmRecord[], StoreError>> {
    const answer = await this.http.call('GET', '/vms')
    if (answer.err || answer.val.status !== 200) return Err({ kind: 'unavailable', message: 'platform: no VM list' })
    return Ok(wire.VmsWire.parse(answer.val.body).vms)
  }
}

class HttpOrdering implements TargetOrdering {
  constructor (private readonly http: HttpJson) {}

  async order (order: TargetOrder): Promise<Result<OrderedTarget, OrderError>> {
    const answer = await this.http.call('POST', '/targets', order)
    return orderOutcome(answer, (body) => wire.OrderedTargetWire.parse(body))
  }

  async release (name: string, token: string, fence: number): Promise<Result<void, OrderError>> {
    const answer = await this.http.call('POST', `/targets/${encodeURIComponent(name)}/release`, { token, fence })
    return orderOutcome(answer, () => undefined)
  }

  async list (): Promise<Result<readonly OrderedTarget[], OrderError>> {
    const answer = await this.http.call('GET', '/targets')
    return orderOutcome(answer, (body) => wire.OrderedTargetsWire.parse(body).targets)
  }
}

class HttpReports implements UsageReports {
  constructor (private readonly http: HttpJson) {}

  async report (bill: UsageBill): Promise<Result<'accepted' | 'already_reported', ReportError>> {
    const answer = await this.http.call('POST', '/usage', bill)
    if (answer.err) return Err({ kind: answer.val.sent ? 'unknown' : 'unavailable', message: answer.val.message })
    if (answer.val.status === 409) return Err({ kind: 'conflict', message: 'window reported with other figures' })
    if (answer.val.status !== 200) return Err({ kind: 'unknown', message: `platform: status ${answer.val.status}` })
    return Ok(wire.ReportWire.parse(answer.val.body).outcome)
  }
}

function writeOutcome<T> (answer: Result<Answer, TransportError>, pick: (body: unknown) => T): Result<T, StoreError> {
  if (answer.err) return Err({ kind: answer.val.sent ? 'unknown' : 'unavailable', message: answer.val.message })
  const { status, body } = answer.val
  if (status === 409) return Err({ kind: 'conflict', message: 'version conflict', current: wire.ConflictWire.parse(body).current })
  if (status === 503) return Err({ kind: 'unavailable', message: 'platform: unavailable' })
  if (status !== 200) return Err({ kind: 'unknown', message: `platform: status ${status}` })
  return Ok(pick(body))
}

function orderOutcome<T> (answer: Result<Answer, TransportError>, pick: (body: unknown) => T): Result<T, OrderError> {
  if (answer.err) return Err({ kind: answer.val.sent ? 'unknown' : 'unavailable', message: answer.val.message })
  const { status, body } = answer.val
  if (status === 200) return Ok(pick(body))
  if (status === 503) return Err({ kind: 'unavailable', message: 'platform: unavailable' })
  const failure = wire.FailureWire.safeParse(body)
  if (!failure.success || failure.data.kind === 'conflict') return Err({ kind: 'unknown', message: `platform: status ${status}` })
  return Err({ kind: failure.data.kind, message: failure.data.message })
}
