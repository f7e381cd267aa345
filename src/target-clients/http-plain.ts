/** HTTP client for plain services. */
import * as undici from 'undici'
import * as bytes from '../bytes/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import type { ConnectionPools } from './connection-pools.js'
import { statusError, toTargetError } from './http-errors.js'
import type { PlainReq, PlainRes, PlainTarget, TargetError } from './types.js'

/** Largest response accepted from a plain service, in bytes. */
const MAX_RESPONSE_BYTES = 1_000_000

/** HTTP status with which a service may report that it did not execute a call. */
const NOT_EXECUTED_STATUS = 503

/** Client for one instance of a plain service at `url`. */
export class HttpPlainTarget implements PlainTarget {
  constructor (private readonly url: string, private readonly freshConnections: undici.Dispatcher, private readonly keepAlivePools: ConnectionPools) {}

  dropIdleConnections (): void {
    this.keepAlivePools.replacePool(this.url, this.keepAlivePools.poolFor(this.url))
  }

  async call (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>> {
    try {
      const res = await undici.request(this.url + req.path, {
        method: req.method as undici.Dispatcher.HttpMethod,
        dispatcher: req.keepAlive === true ? this.keepAlivePools.poolFor(this.url) : this.freshConnections,
        signal,
        headers: { 'content-type': req.contentType, 'x-request-id': req.id },
        body: req.body.length === 0 ? null : req.body
      })
      const body = await bytes.readAll(res.body, MAX_RESPONSE_BYTES)
      if (res.statusCode === NOT_EXECUTED_STATUS) {
        const err = statusError(res.statusCode, new TextDecoder().decode(body), this.url)
        if (err.ran === 'no') return Err(err)
      }
      return Ok({ status: res.statusCode, contentType: String(res.headers['content-type'] ?? 'application/octet-stream'), body })
    } catch (err) {
      return Err(toTargetError(err, this.url))
    }
  }
}
