/** Keys: format, digest and authentication. */
import * as crypto from 'node:crypto'
import type { ConfigIndex } from '../config/index.js'
import { Err, Ok, Refusal, type RefusalReason, type Result } from '../errors/index.js'

/** Random bytes in a secret; enough that a fast hash is safe. */
const SECRET_BYTES = 32

const KEY_PATTERN = /^gw_([a-z0-9]{4,32})_([A-Za-z0-9_-]{43})$/

const BEARER_PATTERN = /^Bearer +(\S+)$/i

/** Compared when a key id is unknown, so that the answer takes as long as for a known one. */
const DUMMY_DIGEST = Buffer.alloc(32)

/** A new key: the text for the caller, and what the configuration keeps. */
export interface NewKey {
  readonly text: string
  readonly id: string
  readonly digest: string
}

/** Makes a key with a random secret. */
export function createKey (): NewKey {
  const id = crypto.randomBytes(6).toString('hex')
  const secret = crypto.randomBytes(SECRET_BYTES).toString('base64url')
  return { text: `gw_${id}_${secret}`, id, digest: digestOf(secret).toString('hex') }
}

/** The account whose key an `Authorization` header carries. */
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
