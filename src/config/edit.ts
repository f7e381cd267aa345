/** Edits the published configuration, and repeats the edit when another writer published first. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore } from '../external/index.js'
import type { ConfigSet } from '../schema/index.js'
import { readConfirmedConfig } from './chunk-collection.js'
import { publishConfig, readConfig, type PublishedConfig } from './publish.js'

/** Attempts at an edit when other writers publish in between. */
const EDIT_ATTEMPTS = 5

/** Applies `edit` to the current configuration and publishes the result; errors are texts for operators. */
export async function editConfig (store: ObjectStore, edit: (set: ConfigSet) => Result<ConfigSet, string>): Promise<Result<PublishedConfig, string>> {
  for (let attempt = 0; attempt < EDIT_ATTEMPTS; attempt++) {
    // After a conflict the head is confirmed, since a plain read may come from the same old copy again.
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

/** Marks a key as withdrawn; the error is a text for operators. */
export function withKeyWithdrawn (set: ConfigSet, id: string): Result<ConfigSet, string> {
  if (!set.keys.some((key) => key.id === id)) return Err(`there is no key ${id}`)
  return Ok({ ...set, keys: set.keys.map((key) => key.id === id ? { ...key, withdrawn: true } : key) })
}
