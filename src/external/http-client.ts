/** HTTP client of the platform. */
import * as undici from 'undici'
import * as z from 'zod'
import * as bytes from '../bytes/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import * as sockets from '../sockets/index.js'
import type {
  ExpectedVersion, ObjectStore, OrderedTarget, OrderError, Platform, ReportError, StoredObject, StoreError, TargetOrder, TargetOrdering,
  UsageBill, UsageReports, VmDirectory, VmRecord, WatchBatch
} from './types.js'
import * as wire from './wire.js'

/** Timeout for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 1_000

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 2_000

/** Added to the wait of a watch for its timeout, in ms. */
const WATCH_SLACK_MS = 2_000

/** Largest response, in bytes: a list of some thousand objects. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

/** Errors after which the request was certainly not sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Client of the platform at `baseUrl`. */
export class HttpPlatform implements Platform, AsyncDisposable {
  private readonly http: JsonClient
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly ordering: TargetOrdering
  readonly reports: UsageReports

  constructor (baseUrl: string) {
    this.http = new JsonClient(baseUrl)
    this.store = new HttpStore(this.http)
    this.vms = new HttpVms(this.http)
    this.ordering = new HttpOrdering(this.http)
    this.reports = new HttpReports(this.http)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.http.agent.destroy()
  }
}

/** A response of the platform with its decoded body; an empty body is `{}`. */
interface PlatformResponse {
  readonly status: number
  readonly body: unknown
}

/** A call without a response; `sent` is false when the platform certainly did not receive it. */
interface TransportError {
  readonly sent: boolean
  readonly message: string
}

/** Sends JSON requests and decodes the responses. */
class JsonClient {
  readonly agent = new undici.Agent({ connections: 64, pipelining: 1, connect: sockets.createConnector(CONNECT_TIMEOUT_MS) })

  constructor (private readonly baseUrl: string) {}

  async call (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Result<PlatformResponse, TransportError>> {
    try {
      const res = await undici.request(this.baseUrl + path, {
        method,
        dispatcher: this.agent,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const text = (await bytes.readAll(res.body, MAX_RESPONSE_BYTES)).toString('utf8')
      return Ok({ status: res.statusCode, body: text === '' ? {} : JSON.parse(text) as unknown })
    } catch (err) {
      const code = String((err as { code?: unknown }).code ?? '')
      return Err({ sent: !CONNECT_ERROR_CODES.has(code), message: `platform: ${err instanceof Error ? err.message : String(err)}` })
    }
  }
}

class HttpStore implements ObjectStore {
  constructor (private readonly http: JsonClient) {}

  async get (key: string): Promise<Result<StoredObject | undefined, StoreError>> {
    return await this.read(`/objects/${encodeURIComponent(key)}`, wire.GetWire, (body) => body.object)
  }

  async list (prefix: string): Promise<Result<readonly StoredObject[], StoreError>> {
    return await this.read(`/objects?prefix=${encodeURIComponent(prefix)}`, wire.ListWire, (body) => body.objects)
  }

  async put (key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
    const res = await this.http.call('PUT', `/objects/${encodeURIComponent(key)}`, { value, expected })
    return writeOutcome(res, (body) => wire.PutWire.parse(body).object)
  }

  async delete (key: string, expected: number): Promise<Result<void, StoreError>> {
    const res = await this.http.call('DELETE', `/objects/${encodeURIComponent(key)}?expected=${expected}`)
    return writeOutcome(res, () => undefined)
  }

  async watch (prefix: string, version: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&version=${version}&wait=${waitMs}`
    return await this.read(path, wire.WatchWire, (body) => body, waitMs + WATCH_SLACK_MS)
  }

  private async read<W, T> (path: string, schema: z.ZodType<W>, select: (body: W) => T, timeoutMs?: number): Promise<Result<T, StoreError>> {
    const res = await this.http.call('GET', path, undefined, timeoutMs)
    if (res.err) return Err({ kind: 'unavailable', message: res.val.message })
    if (res.val.status !== 200) return Err({ kind: 'unavailable', message: `platform: status ${res.val.status}` })
    return Ok(select(schema.parse(res.val.body)))
  }
}

class HttpVms implements VmDirectory {
  constructor (private readonly http: JsonClient) {}

  async list (): Promise<Result<readonly VmRecord[], StoreError>> {
    const res = await this.http.call('GET', '/vms')
    if (res.err || res.val.status !== 200) return Err({ kind: 'unavailable', message: 'platform: cannot read the VM list' })
    return Ok(wire.VmsWire.parse(res.val.body).vms)
  }
}

class HttpOrdering implements TargetOrdering {
  constructor (private readonly http: JsonClient) {}

  async order (order: TargetOrder): Promise<Result<OrderedTarget, OrderError>> {
    const res = await this.http.call('POST', '/targets', order)
    return orderOutcome(res, (body) => wire.OrderedTargetWire.parse(body))
  }

  async release (name: string, token: string, fence: number): Promise<Result<void, OrderError>> {
    const res = await this.http.call('POST', `/targets/${encodeURIComponent(name)}/release`, { token, fence })
    return orderOutcome(res, () => undefined)
  }

  async list (): Promise<Result<readonly OrderedTarget[], OrderError>> {
    const res = await this.http.call('GET', '/targets')
    return orderOutcome(res, (body) => wire.OrderedTargetsWire.parse(body).targets)
  }
}

class HttpReports implements UsageReports {
  constructor (private readonly http: JsonClient) {}

  async report (bill: UsageBill): Promise<Result<'accepted' | 'already_reported', ReportError>> {
    const res = await this.http.call('POST', '/usage', bill)
    if (res.err) return Err({ kind: res.val.sent ? 'unknown' : 'unavailable', message: res.val.message })
    if (res.val.status === 409) return Err({ kind: 'conflict', message: 'window was reported with other counts' })
    if (res.val.status !== 200) return Err({ kind: 'unknown', message: `platform: status ${res.val.status}` })
    return Ok(wire.ReportWire.parse(res.val.body).outcome)
  }
}

function writeOutcome<T> (res: Result<PlatformResponse, TransportError>, decode: (body: unknown) => T): Result<T, StoreError> {
  if (res.err) return Err({ kind: res.val.sent ? 'unknown' : 'unavailable', message: res.val.message })
  const { status, body } = res.val
  if (status === 409) return Err({ kind: 'conflict', message: 'version conflict', current: wire.ConflictWire.parse(body).current })
  if (status === 503) return Err({ kind: 'unavailable', message: 'platform: unavailable' })
  if (status !== 200) return Err({ kind: 'unknown', message: `platform: status ${status}` })
  return Ok(decode(body))
}

function orderOutcome<T> (res: Result<PlatformResponse, TransportError>, decode: (body: unknown) => T): Result<T, OrderError> {
  if (res.err) return Err({ kind: res.val.sent ? 'unknown' : 'unavailable', message: res.val.message })
  const { status, body } = res.val
  if (status === 200) return Ok(decode(body))
  if (status === 503) return Err({ kind: 'unavailable', message: 'platform: unavailable' })
  const failure = wire.FailureWire.safeParse(body)
  if (!failure.success || failure.data.kind === 'conflict') return Err({ kind: 'unknown', message: `platform: status ${status}` })
  return Err({ kind: failure.data.kind, message: failure.data.message })
}
