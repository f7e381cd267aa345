/** JSON texts from outside the process, which may be malformed. */
import type * as z from 'zod'

/** Parses JSON; undefined for other text, which error responses, faulty targets and other writers may give. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Decodes a JSON text; undefined when it is not JSON or does not match the schema. */
export function decodeJson<S extends z.ZodType> (schema: S, text: string): z.output<S> | undefined {
  return schema.safeParse(parseJson(text)).data
}
