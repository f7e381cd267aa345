/** API keys: format, digest and authentication. */
import * as crypto from 'node:crypto'
import type { ConfigIndex } from '../config/index.js'
import { Err, Ok, Refusal, type RefusalReason, type Result } from '../errors/index.js'

/** Random bytes of a secret; with that many, a fast hash is safe. */
const SECRET_BYTES = 32

const KEY_PATTERN = /^gw_([a-z0-9]{4,32})_([A-Za-z0-9_-]{43})$/

const BEARER_PATTERN = /^Bearer +(\S+)$/i

/** Compared when the key id is unknown, so that the response takes as long as for a known id. */
const DUMMY_DIGEST = Buffer.alloc(32)

/** A new key: the text for the caller, and the id and digest for the configuration. */
export interface NewKey {
  readonly text: string
  readonly id: string
  readonly digest: string
}

/** Creates a key with a random secret. */
export function createKey (): NewKey {
  const id = crypto.randomBytes(6).toString('hex')
  const secret = crypto.randomBytes(SECRET_BYTES).toString('base64url')
  return { text: `gw_${id}_${secret}`, id, digest: digestOf(secret).toString('hex') }
}

/** The client account of the key in an `Authorization` header, or a refusal. */
export function authenticate (header: string | undefined, cfg: ConfigIndex): Result<string, Refusal> {
  if (header === undefined) return Err(refuse('key_missing'))
  const match = KEY_PATTERN.exec(BEARER_PATTERN.exec(header)?.[1] ?? '')
  if (match === null) return Err(refuse('key_invalid'))
  const [, id = '', secret = ''] = match
  const key = cfg.key(id)
  const expected = key === undefined ? DUMMY_DIGEST : Buffer.from(key.digest, 'hex')
  const matches = crypto.timingSafeEqual(digestOf(secret), expected)
  if (key === undefined || !matches) return Err(refuse('key_invalid'))
  return key.withdrawn ? Err(refuse('key_withdrawn')) : Ok(key.account)
}

function digestOf (secret: string): Buffer {
  return crypto.createHash('sha256').update(secret).digest()
}

function refuse (reason: RefusalReason): Refusal {
  return new Refusal(reason, { step: 'authenticate', ran: 'no' })
}
