/** Client of the operator interface of entries. */
import * as undici from 'undici'
import * as z from 'zod'
import * as bytes from '../bytes/index.js'
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import { EntryReport } from '../report/index.js'
import * as sockets from '../sockets/index.js'
import * as validation from '../validation/index.js'
import type { WithdrawalOutcome } from './types.js'

/** Time allowed for one call, in ms. */
const CALL_TIMEOUT_MS = 5_000

/** Largest response, in bytes. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024

/** Connections to all entries. */
const AGENT = new undici.Agent({ connect: sockets.createConnector(CALL_TIMEOUT_MS) })

const WithdrawalRes = z.object({ stored: z.boolean(), confirmed: validation.list(z.string()), unconfirmed: validation.list(z.string()) })

/** Calls the operator interface of one entry; `address` is the `ip:port` of its operator listener. */
export class OperatorClient {
  constructor (readonly address: string, private readonly token: string | undefined) {}

  async report (): Promise<Result<EntryReport, StepError>> {
    return await this.call('GET', '/report', EntryReport)
  }

  async drain (): Promise<Result<void, StepError>> {
    return (await this.call('POST', '/drain', z.object({ state: z.string() }))).map(() => undefined)
  }

  async withdrawKey (id: string): Promise<Result<WithdrawalOutcome, StepError>> {
    return await this.call('POST', `/keys/${id}/withdraw`, WithdrawalRes)
  }

  private async call<T> (method: 'GET' | 'POST', path: string, schema: z.ZodType<T>): Promise<Result<T, StepError>> {
    try {
      const res = await undici.request(`http://${this.address}${path}`, {
        method,
        dispatcher: AGENT,
        headers: this.token === undefined ? {} : { authorization: `Bearer ${this.token}` },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS
      })
      const body: unknown = JSON.parse((await bytes.readAll(res.body, MAX_RESPONSE_BYTES)).toString('utf8'))
      if (res.statusCode >= 300) return Err(new StepError('report', this.address, `status ${res.statusCode} for ${method} ${path}`))
      return Ok(schema.parse(body))
    } catch (err) {
      return Err(new StepError('report', this.address, err instanceof Error ? err.message : String(err), { cause: err }))
    }
  }
}
