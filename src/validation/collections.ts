/**
 * Schemas of lists and records in messages from outside the process. Unlike the schemas of zod, they give up after a few
 * issues: an issue is an object of several hundred bytes, and a malformed list may have an issue for every two bytes.
 */
import * as z from 'zod'

/** Issues after which the rest of a list or record is not validated. */
export const MAX_ISSUES = 16

/** Fewest and most elements of a list. */
export interface ListBounds {
  readonly min?: number
  readonly max?: number
}

// Schemas of zod take several KiB each, so all lists and records share those of their two ends.
const UndecodedList = z.array(z.any())
const UndecodedRecord = z.record(z.string(), z.any())
const Decoded = z.custom<any>()

/** An array whose elements match `item`. */
export function list<S extends z.ZodType> (item: S, bounds?: ListBounds) {
  const undecoded: z.ZodType<z.input<S>[], z.input<S>[]> = bounds === undefined ? UndecodedList : boundedList(bounds)
  const decoded: z.ZodType<z.output<S>[], z.output<S>[]> = Decoded
  return z.codec(undecoded, decoded, {
    decode: (elements, ctx) => decodeElements(item, elements, 0, ctx.issues),
    encode: (elements) => elements.map((element) => z.encode(item, element))
  })
}

function boundedList ({ min = 0, max = Infinity }: ListBounds): typeof UndecodedList {
  return UndecodedList.min(min).max(max)
}

/** An object with any number of keys that match `key` and values that match `value`. */
export function record<K extends z.ZodType<string>, V extends z.ZodType> (key: K, value: V) {
  const decoded: z.ZodType<Record<string, z.output<V>>, Record<string, z.output<V>>> = Decoded
  return z.codec(UndecodedRecord, decoded, {
    decode: (object, ctx) => decodeRecord(key, value, object, ctx.issues),
    encode: (object) => Object.fromEntries(Object.entries(object).map(([name, field]) => [name, z.encode(value, field)]))
  })
}

/** A tuple of a text that matches `first` and any number of elements that match `rest`. */
export function tupleWithRest<R extends z.ZodType> (first: z.ZodString, rest: R) {
  const decoded: z.ZodType<[string, ...z.output<R>[]], [string, ...z.output<R>[]]> = Decoded
  return z.codec(z.tuple([first], z.unknown()), decoded, {
    decode: ([text, ...others], ctx): [string, ...z.output<R>[]] => [text, ...decodeElements(rest, others, 1, ctx.issues)],
    encode: ([text, ...others]): [string, ...unknown[]] => [text, ...others.map((element) => z.encode(rest, element))]
  })
}

/** Decodes elements of a list, of which the first one has the index `offset`; adds their issues. */
function decodeElements<S extends z.ZodType> (schema: S, elements: readonly unknown[], offset: number, issues: z.core.$ZodRawIssue[]): z.output<S>[] {
  const decoded: z.output<S>[] = []
  for (let index = 0; index < elements.length && issues.length < MAX_ISSUES; index++) {
    const parsed = schema.safeParse(elements[index])
    if (parsed.success) decoded.push(parsed.data)
    else addIssues(issues, offset + index, parsed.error)
  }
  return decoded
}

function decodeRecord<V extends z.ZodType> (key: z.ZodType<string>, value: V, object: Readonly<Record<string, unknown>>, issues: z.core.$ZodRawIssue[]): Record<string, z.output<V>> {
  const decoded: Record<string, z.output<V>> = {}
  for (const name of Object.keys(object)) {
    if (issues.length >= MAX_ISSUES) return decoded
    const parsedKey = key.safeParse(name)
    const parsed = value.safeParse(object[name])
    if (!parsedKey.success) addIssues(issues, name, parsedKey.error)
    if (!parsed.success) addIssues(issues, name, parsed.error)
    else decoded[name] = parsed.data
  }
  return decoded
}

/** Adds the issues of the element at `key` to those of its collection. */
function addIssues (issues: z.core.$ZodRawIssue[], key: PropertyKey, error: z.ZodError): void {
  for (const issue of error.issues) issues.push({ ...issue, path: [key, ...issue.path], input: undefined } as z.core.$ZodRawIssue)
}
