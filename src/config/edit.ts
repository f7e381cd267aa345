/** Edits the published configuration, starting over when another writer was faster. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore } from '../external/index.js'
import type { ConfigSet } from '../schema/index.js'
import { readConfirmedConfig } from './collect.js'
import { publishConfig, readConfig, type PublishedConfig } from './publish.js'

/** Times an edit is made again after a conflict. */
const EDIT_ATTEMPTS = 5

/** Publishes what `edit` makes of the current configuration; errors are texts for operators. */
export async function editConfig (store: ObjectStore, edit: (set: ConfigSet) => Result<ConfigSet, string>): Promise<Result<PublishedConfig, string>> {
  for (let attempt = 0; attempt < EDIT_ATTEMPTS; attempt++) {
    // After a conflict the read is confirmed, since a plain one may come from the same old copy again.
    const base = attempt === 0 ? await readConfig(store) : await readConfirmedConfig(store)
    if (base.err) return Err(base.val.message)
    if (base.val === undefined) return Err('no configuration is published; run \'godwitpoint config apply\' first')
    const edited = edit(base.val.set)
    if (edited.err) return edited
    const published = await publishConfig(store, edited.val, base.val)
    if (published.ok) return Ok(published.val)
    if (published.val.kind !== 'conflict') return Err(published.val.message)
  }
  return Err('other writers keep changing the configuration; try again')
}

/** The configuration with a key withdrawn. */
export function withKeyWithdrawn (set: ConfigSet, id: string): Result<ConfigSet, string> {
  if (!set.keys.some((key) => key.id === id)) return Err(`there is no key ${id}`)
  return Ok({ ...set, keys: set.keys.map((key) => key.id === id ? { ...key, withdrawn: true } : key) })
}
