/** Compares two configurations by object and field. */
import * as util from 'node:util'
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore, StoreError } from '../external/index.js'
import { ConfigHead, type ConfigSet } from '../schema/index.js'
import { joinConfig } from './chunks.js'
import { readChunks, type PublishedConfig } from './publish.js'

/** An object that was added (+), removed (-) or changed (~). */
export interface ConfigChange {
  readonly sign: '+' | '-' | '~'
  readonly kind: keyof ConfigSet
  readonly name: string
  /** Fields that differ, as `field: old -> new`; the values of digests are left out. */
  readonly fields: readonly string[]
}

/** Lists the changes from `base` to `current`. */
export function diffConfig (base: ConfigSet | undefined, current: ConfigSet): ConfigChange[] {
  return (Object.keys(current) as Array<keyof ConfigSet>).flatMap((kind) => diffKind(kind, base?.[kind] ?? [], current[kind]))
}

/**
 * Lists what another writer changed since `base`; `conflict` is the error of the update that lost, and carries the
 * current head.
 */
export async function diffAfterConflict (store: ObjectStore, conflict: StoreError, base: PublishedConfig | undefined): Promise<Result<ConfigChange[], StoreError>> {
  if (conflict.current === undefined) return Err(conflict)
  const chunks = await readChunks(store, ConfigHead.parse(JSON.parse(conflict.current.value)))
  return chunks.err ? chunks : Ok(diffConfig(base?.set, joinConfig(chunks.val)))
}

type Item = Readonly<Record<string, unknown>>

function diffKind (kind: keyof ConfigSet, before: readonly Item[], after: readonly Item[]): ConfigChange[] {
  const previousByName = new Map(before.map((item) => [nameOf(item), item]))
  const currentNames = new Set(after.map(nameOf))
  const removed = [...previousByName.keys()].filter((name) => !currentNames.has(name)).map((name): ConfigChange => ({ sign: '-', kind, name, fields: [] }))
  const changed = after.flatMap((item): ConfigChange[] => {
    const name = nameOf(item)
    const previous = previousByName.get(name)
    if (previous === undefined) return [{ sign: '+', kind, name, fields: [] }]
    const fields = changedFields(previous, item)
    return fields.length === 0 ? [] : [{ sign: '~', kind, name, fields }]
  })
  return [...removed, ...changed]
}

function changedFields (before: Item, after: Item): string[] {
  return Object.keys(after)
    .filter((field) => !util.isDeepStrictEqual(before[field], after[field]))
    .map((field) => field === 'digest' ? 'digest changed' : `${field}: ${JSON.stringify(before[field])} -> ${JSON.stringify(after[field])}`)
}

function nameOf (item: Item): string {
  return String(item.name ?? item.id)
}
