/** Stored JSON objects that another writer may have left in another form. */
import type * as external from '../external/index.js'
import type * as z from 'zod'

/** Decodes a stored object; undefined when it is not JSON or not of the schema. */
export function decodeStored<T> (schema: z.ZodType<T>, object: external.StoredObject): T | undefined {
  try {
    return schema.safeParse(JSON.parse(object.value)).data
  } catch (err) {
    if (err instanceof SyntaxError) return undefined
    throw err
  }
}
