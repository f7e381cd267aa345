/** Encodes response bodies as text: UTF-8 when the bytes are valid UTF-8, base64 otherwise. */

/** A body encoded as text. */
export interface EncodedBody {
  readonly encoding: 'utf8' | 'base64'
  readonly body: string
}

/** Encodes bytes as text. */
export function encodeBody (bytes: Uint8Array): EncodedBody {
  try {
    return { encoding: 'utf8', body: new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes) }
  } catch {
    return { encoding: 'base64', body: Buffer.from(bytes).toString('base64') }
  }
}

/** Decodes the bytes of an encoded body. */
export function decodeBody (encoded: EncodedBody): Uint8Array {
  return encoded.encoding === 'utf8' ? new TextEncoder().encode(encoded.body) : Buffer.from(encoded.body, 'base64')
}
