/** Complete responses whose head is malformed. */

/** Statuses that no response of HTTP has. */
const STATUSES = ['000', '001', '099']

const DEL = 0x7f

/** Blanks and control bytes, which no name of a field may hold. */
const NOT_IN_NAMES = [...Array.from({ length: 0x21 }, (_, code) => code), DEL].map((code) => String.fromCharCode(code))

/** Lines whose name holds a byte that it may not hold, by description. */
const LINES = NOT_IN_NAMES.flatMap((byte) => [
  [`${JSON.stringify(byte)} inside a name`, `x-a${byte}b: 1`],
  [`${JSON.stringify(byte)} before the colon`, `x-a${byte}: 1`],
  [`${JSON.stringify(byte)} before a name`, `${byte}x-a: 1`]
] as const)

/** An event, so that it is also a whole stream. */
const BODY = 'id: 1\ndata: a\n\n'

/** Framing of the body: fields, and bytes after the head. */
const FRAMINGS = {
  'a length': [`content-length: ${BODY.length}`, BODY],
  chunks: ['transfer-encoding: chunked', `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`],
  'no length': ['connection: close', BODY]
} as const

export type Framing = keyof typeof FRAMINGS

export const FRAMING_NAMES = Object.keys(FRAMINGS) as Framing[]

/** A response to the request with this id. */
export type ResponseBytes = (id: string) => Buffer

function head (status: string, fields: readonly string[]): string {
  return `HTTP/1.1 ${status} X\r\n${fields.join('\r\n')}\r\n\r\n`
}

/** A response with this status, and with these lines as its first and last fields. */
function response (framing: Framing, status: string, first: readonly string[] = [], last: readonly string[] = []): ResponseBytes {
  const [field, bytes] = FRAMINGS[framing]
  return (id) => Buffer.from(head(status, [...first, field, `request-id: ${id}`, 'response-stamp: s', ...last]) + bytes, 'latin1')
}

function afterInterimHead (line: string, final: ResponseBytes): ResponseBytes {
  return (id) => Buffer.concat([Buffer.from(head('103', ['link: x', line]), 'latin1'), final(id)])
}

/** A sound response. */
export function soundResponse (framing: Framing): ResponseBytes {
  return response(framing, '200')
}

/** Responses with a malformed head, by description. */
export function malformedResponses (framing: Framing): ReadonlyMap<string, ResponseBytes> {
  return new Map([
    ...STATUSES.map((status) => [`status ${status}`, response(framing, status)] as const),
    ...LINES.flatMap(([name, line]) => [
      [`${name}, first field`, response(framing, '200', [line])],
      [`${name}, last field`, response(framing, '200', [], [line])],
      [`${name}, interim response`, afterInterimHead(line, soundResponse(framing))]
    ] as const)
  ])
}
