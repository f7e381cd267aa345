/** Settings of a daemon: an INI file validated against a schema. */
import * as ini from 'ini'
import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/index.js'

const Port = z.coerce.number().int().min(0).max(65_535)
const Ip = z.union([z.ipv4(), z.ipv6()])

/** Settings of `godwitpoint entry`. */
export const EntrySettings = z.strictObject({
  entry: z.strictObject({
    /** Name of the VM, unique in the deployment. */
    name: z.string().regex(/^[a-z0-9][a-z0-9.-]*$/, 'expected lower-case letters, digits, dots and dashes'),
    failure_domain: z.string().min(1),
    region: z.string().min(1)
  }),
  listen: z.strictObject({
    address: Ip,
    /** Port for callers. */
    port: Port,
    /** Port for other entries. */
    peer_port: Port,
    /** Port for operators. */
    operator_port: Port
  }),
  platform: z.strictObject({ url: z.url({ protocol: /^http$/ }) }),
  log: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).default({ level: 'info' }),
  usage: z.strictObject({
    /** Length of a usage window, in seconds. */
    window_s: z.coerce.number().int().min(1).default(3_600)
  }).default({ window_s: 3_600 }),
  operator: z.strictObject({
    /** SHA-256, in hex, of the token that operator calls must carry; without it no token is required. */
    token_digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hex').optional()
  }).default({})
})
export type EntrySettings = z.infer<typeof EntrySettings>

/** An invalid, missing or unknown setting in a settings file. */
export interface SettingsProblem {
  readonly section: string
  readonly key: string
  /** Line of the key, or of the section header when the key is missing; 1 when both are missing. */
  readonly line: number
  readonly expected: string
}

/** Parses settings; problems name the section, key and line. */
export function parseSettings (text: string): Result<EntrySettings, readonly SettingsProblem[]> {
  const parsed = EntrySettings.safeParse(plainCopy(ini.parse(text)))
  if (parsed.success) return Ok(parsed.data)
  return Err(parsed.error.issues.map((issue) => problemOf(issue, text)))
}

function problemOf (issue: z.core.$ZodIssue, text: string): SettingsProblem {
  const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined
  const path = [...issue.path.map(String), ...(unknownKey === undefined ? [] : [unknownKey])]
  const [section = '', key = ''] = path
  const expected = unknownKey === undefined ? issue.message : 'no such setting'
  return { section, key, line: lineOf(text, section, key), expected }
}

function lineOf (text: string, section: string, key: string): number {
  const lines = text.split('\n').map((line) => line.trim())
  const headerIndex = lines.indexOf(`[${section}]`)
  if (headerIndex < 0) return 1
  const following = lines.slice(headerIndex + 1)
  const sectionEnd = following.findIndex((line) => line.startsWith('['))
  const keyIndex = following.slice(0, sectionEnd < 0 ? undefined : sectionEnd).findIndex((line) => line.split('=', 1)[0]?.trim() === key)
  return keyIndex < 0 ? headerIndex + 1 : headerIndex + 2 + keyIndex
}

// Parsed sections have a null prototype, which the schema does not accept as an object.
function plainCopy (value: unknown): unknown {
  return JSON.parse(JSON.stringify(value))
}
